#ifndef ACACIACROSS_PEERING_TRANSFERSTREAM_H
#define ACACIACROSS_PEERING_TRANSFERSTREAM_H

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>
#include <cstddef>
#include <string>

namespace acaciacross::peering {

/// One TCP connection that carries frames with a length prefix of four bytes,
/// on a reactor. The reactor's references keep it alive; it ends after
/// TransferLimit at the latest.
class TransferStream : public ACE_Event_Handler {
public:
  /// Takes over the socket, which may still be connecting.
  TransferStream(ACE_Reactor &Events, const ACE_SOCK_Stream &Connection,
                 std::size_t MaxIncomingBytes);

  /// Registers at the reactor; false when that fails, and then it has ended.
  bool start();

  /// Queues a frame.
  void send(const std::string &Frame);

  /// Closes the connection without further calls to onEnd.
  void abandon();

protected:
  ~TransferStream() override;

  /// A whole frame has arrived. False ends the connection.
  virtual bool onFrame(std::string Frame) = 0;
  /// The connection has ended, for whatever reason. Called once.
  virtual void onEnd() = 0;

private:
  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE Handle) override;
  int handle_output(ACE_HANDLE Handle) override;
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;
  int handle_close(ACE_HANDLE Handle, ACE_Reactor_Mask Mask) override;

  bool takeFrames();
  void release();

  ACE_SOCK_Stream Socket;
  std::size_t MaxIncoming;
  std::string Incoming;
  std::string Outgoing;
  std::size_t SentBytes = 0;
  bool Ended = false;
};

} // namespace acaciacross::peering

#endif
