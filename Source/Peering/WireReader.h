#ifndef ACACIACROSS_PEERING_WIREREADER_H
#define ACACIACROSS_PEERING_WIREREADER_H

#include "Common/Address.h"
#include "Peering/MessageKind.h"

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace acaciacross::peering {

/// Reads the fields of one message. Throws PeerMessageError or
/// cereal::Exception when the bytes do not hold the requested field; allocates
/// no more than the given limits.
class WireReader {
public:
  /// Reads and checks the version and the kind.
  explicit WireReader(std::string_view Bytes);

  MessageKind kind() const;

  template <typename Number> Number number() {
    Number Value{};
    this->Archive(Value);
    return Value;
  }

  std::string name(std::size_t MaxBytes);
  std::string document(std::size_t MaxBytes);
  common::Address address();
  /// Reads the number of entries of a list, at most Max.
  std::size_t count(std::size_t Max);
  /// Like count, but in one byte, for lists of at most 255 entries.
  std::size_t smallCount(std::size_t Max);

  /// Reads the era of the store, the last field of a message; 0 if the message
  /// ends before it.
  std::uint64_t era();

  /// Must be called last; throws when bytes follow the message.
  void finish();

private:
  bool isAtEnd();
  static std::size_t checkCount(std::size_t Count, std::size_t Max);
  std::string rawBytes(std::size_t Length, std::size_t MaxBytes);

  std::istringstream Stream;
  cereal::PortableBinaryInputArchive Archive;
  MessageKind Kind;
};

} // namespace acaciacross::peering

#endif
