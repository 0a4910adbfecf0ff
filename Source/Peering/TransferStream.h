#ifndef ACACIACROSS_PEERING_TRANSFERSTREAM_H
#define ACACIACROSS_PEERING_TRANSFERSTREAM_H

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>
#include <cstddef>
#include <string>

namespace acaciacross::peering {

/// A TCP connection on a reactor that carries frames with a length prefix of
/// four bytes. The references of the reactor keep it alive; it is closed after
/// TransferLimit at the latest.
class TransferStream : public ACE_Event_Handler {
public:
  /// Takes ownership of the socket, which may still be connecting.
  TransferStream(ACE_Reactor &Reactor, const ACE_SOCK_Stream &Connection,
                 std::size_t MaxIncomingBytes);

  /// Registers with the reactor. When that fails, closes the connection and
  /// returns false.
  bool start();

  /// Queues a frame for sending.
  void send(const std::string &Frame);

  /// Closes the connection without calling onEnd.
  void abandon();

protected:
  ~TransferStream() override;

  /// Called for each complete frame; false ends the connection.
  virtual bool onFrame(std::string Frame) = 0;
  /// Called once when the connection has ended for any reason.
  virtual void onEnd() = 0;

private:
  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE Handle) override;
  int handle_output(ACE_HANDLE Handle) override;
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;
  int handle_close(ACE_HANDLE Handle, ACE_Reactor_Mask Mask) override;

  /// Passes the complete frames to onFrame; false ends the connection.
  bool processFrames();
  void release();

  ACE_SOCK_Stream Socket;
  std::size_t MaxIncomingBytes;
  std::string Incoming;
  std::string Outgoing;
  std::size_t SentBytes = 0;
  bool HasEnded = false;
};

} // namespace acaciacross::peering

#endif
