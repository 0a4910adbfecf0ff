#ifndef ACACIACROSS_STANDINS_PLATFORM_CHANGELOG_H
#define ACACIACROSS_STANDINS_PLATFORM_CHANGELOG_H

#include "StandIns/Platform/ChangeEntry.h"
#include "StandIns/Platform/ChangesReply.h"

#include <vector>

namespace acaciacross::standins {

/// All published changes in order of their revisions (1, 2, ...).
class ChangeLog {
public:
  /// Readers get individual changes only from the last HistoryLength ones; a
  /// reader further behind gets the current values.
  explicit ChangeLog(std::size_t HistoryLength);

  /// Returns the revision of the change.
  std::uint64_t publish(const std::string &Key, const std::string &Text);

  std::uint64_t latestRevision() const;

  /// Reply to a reader that has the changes up to revision Since, when Latest
  /// is the last revision that the service shows.
  ChangesReply changesSince(std::uint64_t Since, std::uint64_t Latest) const;

private:
  /// The last value of each key up to revision Latest, in order of revision.
  std::vector<ChangeEntry> currentValues(std::uint64_t Latest) const;

  std::size_t HistoryLength;
  std::vector<ChangeEntry> Entries;
};

} // namespace acaciacross::standins

#endif
