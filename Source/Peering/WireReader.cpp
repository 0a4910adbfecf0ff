#include "Peering/WireReader.h"

#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"

#include <arpa/inet.h>
#include <array>

namespace acaciacross::peering {

WireReader::WireReader(std::string_view Bytes)
    : Stream(std::string(Bytes)), Archive(this->Stream) {
  const auto Version = this->number<std::uint8_t>();
  if (Version != MessageVersion)
    throw PeerMessageError("version " + std::to_string(Version) +
                           " instead of " + std::to_string(MessageVersion));
  const auto Number = this->number<std::uint8_t>();
  if (Number < static_cast<std::uint8_t>(MessageKind::Probe) ||
      Number > static_cast<std::uint8_t>(MessageKind::PeerEvidence))
    throw PeerMessageError("unknown kind " + std::to_string(Number));
  this->Kind = static_cast<MessageKind>(Number);
}

MessageKind WireReader::kind() const { return this->Kind; }

std::string WireReader::name(std::size_t MaxBytes) {
  return this->rawBytes(this->number<std::uint8_t>(), MaxBytes);
}

std::string WireReader::document(std::size_t MaxBytes) {
  return this->rawBytes(this->number<std::uint32_t>(), MaxBytes);
}

common::Address WireReader::address() {
  in_addr Host{};
  Host.s_addr = htonl(this->number<std::uint32_t>());
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Host, Text.data(), Text.size());
  const auto Port = this->number<std::uint16_t>();
  return common::Address{Text.data(), Port};
}

std::size_t WireReader::count(std::size_t Max) {
  return checkCount(this->number<std::uint16_t>(), Max);
}

std::size_t WireReader::smallCount(std::size_t Max) {
  return checkCount(this->number<std::uint8_t>(), Max);
}

std::size_t WireReader::checkCount(std::size_t Count, std::size_t Max) {
  if (Count > Max)
    throw PeerMessageError(std::to_string(Count) +
                           " entries, over the limit of " +
                           std::to_string(Max));
  return Count;
}

// A VM whose store tells no era, or of a release before eras, sends none.
std::uint64_t WireReader::era() {
  return this->isAtEnd() ? 0 : this->number<std::uint32_t>();
}

bool WireReader::isAtEnd() {
  return this->Stream.peek() == std::istringstream::traits_type::eof();
}

void WireReader::finish() {
  if (!this->isAtEnd())
    throw PeerMessageError("bytes after the end of the message");
}

std::string WireReader::rawBytes(std::size_t Length, std::size_t MaxBytes) {
  if (Length > MaxBytes)
    throw PeerMessageError("a text of " + std::to_string(Length) +
                           " bytes, over the limit of " +
                           std::to_string(MaxBytes));
  const auto AvailableBytes = this->Stream.rdbuf()->in_avail();
  if (AvailableBytes < 0 || Length > static_cast<std::size_t>(AvailableBytes))
    throw PeerMessageError("a text longer than the message");
  std::string Text(Length, '\0');
  this->Archive.loadBinary<1>(Text.data(),
                              static_cast<std::streamsize>(Length));
  return Text;
}

} // namespace acaciacross::peering
