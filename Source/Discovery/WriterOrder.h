#ifndef ACACIACROSS_DISCOVERY_WRITERORDER_H
#define ACACIACROSS_DISCOVERY_WRITERORDER_H

#include "Discovery/SearcherReport.h"

#include <cstdint>
#include <map>
#include <string>

namespace acaciacross::discovery {

/// Decides whether an entry that a newer era of the store lists is a copy from
/// before what is known of its searcher. Within an era the order of revisions
/// decides, and no entry is outdated here.
class WriterOrder {
public:
  /// Era: the era of the store that lists the entry.
  bool isOutdated(const std::string &Key, const SearcherReport &Report,
                  std::uint64_t Era) const;
  void record(const std::string &Key, const SearcherReport &Report,
              std::uint64_t Era);
  /// The entry of the key was removed in the era.
  void recordRemoval(const std::string &Key, std::uint64_t Era);
  void forget(const std::string &Key);

private:
  struct Heard {
    SearcherReport Report;
    std::uint64_t Era = 0;
    bool IsRemoved = false;
  };

  /// The last that was heard of each searcher.
  std::map<std::string, Heard> Searchers;
};

} // namespace acaciacross::discovery

#endif
