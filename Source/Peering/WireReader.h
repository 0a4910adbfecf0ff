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

/// Reads the fields of one message. Throws PeerMessageError or cereal's
/// exception when the bytes do not hold what is asked for; allocates nothing
/// beyond the bounds given.
class WireReader {
public:
  /// Checks the version.
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
  /// A count of list entries.
  std::size_t count(std::size_t Max);
  /// The same in one byte, for lists of at most 255 entries.
  std::size_t smallCount(std::size_t Max);

  /// Call last: bytes after the message are an error.
  void finish();

private:
  static std::size_t checked(std::size_t Count, std::size_t Max);
  std::string rawBytes(std::size_t Length, std::size_t MaxBytes);

  std::istringstream Stream;
  cereal::PortableBinaryInputArchive Archive;
  MessageKind Kind;
};

} // namespace acaciacross::peering

#endif
