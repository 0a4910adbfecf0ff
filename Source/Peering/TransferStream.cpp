#include "Peering/TransferStream.h"

#include "Peering/MessageLimits.h"

#include <ace/Reactor.h>
#include <array>
#include <cerrno>
#include <cstdint>

namespace acaciacross::peering {

namespace {

constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t ReadBytes = 16U << 10U;

std::string encodePrefix(std::size_t Length) {
  std::string Prefix;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Prefix.push_back(static_cast<char>((Length >> Shift) & 0xFFU));
  return Prefix;
}

std::size_t decodePrefix(const std::string &Bytes) {
  std::size_t Length = 0;
  for (std::size_t Index = 0; Index < PrefixBytes; ++Index)
    Length = (Length << 8U) | static_cast<std::uint8_t>(Bytes[Index]);
  return Length;
}

} // namespace

TransferStream::TransferStream(ACE_Reactor &Reactor,
                               const ACE_SOCK_Stream &Connection,
                               std::size_t MaxIncomingBytes)
    : ACE_Event_Handler(&Reactor), Socket(Connection),
      MaxIncomingBytes(MaxIncomingBytes) {
  this->reference_counting_policy().value(
      ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
  this->Socket.enable(ACE_NONBLOCK);
}

TransferStream::~TransferStream() { this->Socket.close(); }

bool TransferStream::start() {
  const ACE_Time_Value Limit(TransferLimit);
  const ACE_Reactor_Mask Mask =
      ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK;
  if (this->reactor()->register_handler(this, Mask) == 0 &&
      this->reactor()->schedule_timer(this, nullptr, Limit) >= 0)
    return true;
  this->release();
  return false;
}

void TransferStream::send(const std::string &Frame) {
  this->Outgoing += encodePrefix(Frame.size());
  this->Outgoing += Frame;
  this->reactor()->schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

void TransferStream::abandon() {
  const ACE_Event_Handler_var Guard(this);
  this->add_reference();
  this->release();
}

ACE_HANDLE TransferStream::get_handle() const {
  return this->Socket.get_handle();
}

int TransferStream::handle_input(ACE_HANDLE) {
  std::array<char, ReadBytes> Buffer{};
  const ssize_t Length = this->Socket.recv(Buffer.data(), Buffer.size());
  if (Length < 0 && errno == EWOULDBLOCK)
    return 0;
  if (Length <= 0)
    return -1;
  this->Incoming.append(Buffer.data(), Length);
  return this->processFrames() ? 0 : -1;
}

int TransferStream::handle_output(ACE_HANDLE) {
  while (this->SentBytes < this->Outgoing.size()) {
    const ssize_t Length =
        this->Socket.send(this->Outgoing.data() + this->SentBytes,
                          this->Outgoing.size() - this->SentBytes);
    if (Length < 0 && errno == EWOULDBLOCK)
      return 0;
    if (Length <= 0)
      return -1;
    this->SentBytes += Length;
  }
  this->Outgoing.clear();
  this->SentBytes = 0;
  this->reactor()->cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
  return 0;
}

int TransferStream::handle_timeout(const ACE_Time_Value &, const void *) {
  return -1;
}

int TransferStream::handle_close(ACE_HANDLE, ACE_Reactor_Mask) {
  if (this->HasEnded)
    return 0;
  const ACE_Event_Handler_var Guard(this);
  this->add_reference();
  this->release();
  this->onEnd();
  return 0;
}

// The length is checked before the bytes of the frame are stored.
bool TransferStream::processFrames() {
  while (this->Incoming.size() >= PrefixBytes) {
    const std::size_t Length = decodePrefix(this->Incoming);
    if (Length > this->MaxIncomingBytes)
      return false;
    if (this->Incoming.size() < PrefixBytes + Length)
      return true;
    std::string Frame = this->Incoming.substr(PrefixBytes, Length);
    this->Incoming.erase(0, PrefixBytes + Length);
    if (!this->onFrame(std::move(Frame)))
      return false;
  }
  return true;
}

void TransferStream::release() {
  this->HasEnded = true;
  this->reactor()->cancel_timer(this);
  this->reactor()->remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                            ACE_Event_Handler::DONT_CALL);
  this->Socket.close();
}

} // namespace acaciacross::peering
