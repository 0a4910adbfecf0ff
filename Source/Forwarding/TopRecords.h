#ifndef ACACIACROSS_FORWARDING_TOPRECORDS_H
#define ACACIACROSS_FORWARDING_TOPRECORDS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace acaciacross::forwarding {

/// Merges records of fixed length.
class TopRecords {
public:
  static constexpr std::size_t RecordBytes = 16;

  /// The greatest Count records of all Parts by their bytes, greatest first.
  /// Equal records all count; a shorter rest of a part is no record.
  static std::string merge(const std::vector<std::string_view> &Parts,
                           std::size_t Count);
};

} // namespace acaciacross::forwarding

#endif
