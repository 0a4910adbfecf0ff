#include "Peering/WireWriter.h"

#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"

#include <arpa/inet.h>
#include <limits>

namespace acaciacross::peering {

namespace {

void checkLength(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    throw PeerMessageError("a text of " + std::to_string(Text.size()) +
                           " bytes is over the limit of " +
                           std::to_string(MaxBytes));
}

} // namespace

WireWriter::WireWriter(MessageKind Kind) : Archive(this->Stream) {
  this->number(MessageVersion);
  this->number(static_cast<std::uint8_t>(Kind));
}

// cereal would encode the length of a string in eight bytes, a seventh of a
// probe.
void WireWriter::name(std::string_view Text, std::size_t MaxBytes) {
  checkLength(Text, MaxBytes);
  this->number(static_cast<std::uint8_t>(Text.size()));
  this->rawBytes(Text);
}

void WireWriter::document(std::string_view Text, std::size_t MaxBytes) {
  checkLength(Text, MaxBytes);
  this->number(static_cast<std::uint32_t>(Text.size()));
  this->rawBytes(Text);
}

void WireWriter::address(const common::Address &Value) {
  in_addr Host{};
  if (inet_pton(AF_INET, Value.Host.c_str(), &Host) != 1)
    throw PeerMessageError("no IPv4 number: " + Value.Host);
  this->number(static_cast<std::uint32_t>(ntohl(Host.s_addr)));
  this->number(Value.Port);
}

void WireWriter::era(std::uint64_t Value) {
  if (Value > std::numeric_limits<std::uint32_t>::max())
    throw PeerMessageError("an era over the limit");
  if (Value > 0)
    this->number(static_cast<std::uint32_t>(Value));
}

std::size_t WireWriter::eraSize(std::uint64_t Value) {
  return Value > 0 ? sizeof(std::uint32_t) : 0;
}

std::size_t WireWriter::size() {
  return static_cast<std::size_t>(this->Stream.tellp());
}

std::string WireWriter::bytes() const { return this->Stream.str(); }

void WireWriter::rawBytes(std::string_view Text) {
  this->Archive.saveBinary<1>(Text.data(),
                              static_cast<std::streamsize>(Text.size()));
}

} // namespace acaciacross::peering
