#ifndef ACACIACROSS_PEERING_WIREWRITER_H
#define ACACIACROSS_PEERING_WIREWRITER_H

#include "Common/Address.h"
#include "Peering/MessageKind.h"

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace acaciacross::peering {

/// Writes the fields of one message. Throws PeerMessageError when a field is
/// longer than its limit.
class WireWriter {
public:
  explicit WireWriter(MessageKind Kind);

  template <typename Number> void number(Number Value) { this->Archive(Value); }

  /// Writes the length in one byte and the text.
  void name(std::string_view Text, std::size_t MaxBytes);
  /// Writes the length in four bytes and the text.
  void document(std::string_view Text, std::size_t MaxBytes);
  void address(const common::Address &Value);
  /// Writes the era of the store, the last field of a message; nothing for 0.
  void era(std::uint64_t Value);
  /// The bytes that era() writes.
  static std::size_t eraSize(std::uint64_t Value);

  std::size_t size();
  std::string bytes() const;

private:
  void rawBytes(std::string_view Text);

  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive;
};

} // namespace acaciacross::peering

#endif
