#ifndef ACACIACROSS_FORWARDING_TOPRECORDS_H
#define ACACIACROSS_FORWARDING_TOPRECORDS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace acaciacross::forwarding {

/// Merges search results, which are records of fixed length.
class TopRecords {
public:
  static constexpr std::size_t RecordBytes = 16;

  /// Returns the Count greatest records of all Parts by byte order, greatest
  /// first. Duplicates are kept. An incomplete record at the end of a part is
  /// ignored.
  static std::string merge(const std::vector<std::string_view> &Parts,
                           std::size_t Count);

  /// Reduces a part to its Count greatest records if it holds the memory of
  /// many more.
  static void reduce(std::string &Part, std::size_t Count);
};

} // namespace acaciacross::forwarding

#endif
