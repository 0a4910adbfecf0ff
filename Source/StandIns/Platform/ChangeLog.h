#ifndef ACACIACROSS_STANDINS_PLATFORM_CHANGELOG_H
#define ACACIACROSS_STANDINS_PLATFORM_CHANGELOG_H

#include "StandIns/Platform/ChangeEntry.h"
#include "StandIns/Platform/ChangesReply.h"

#include <vector>

namespace acaciacross::standins {

/// Every published change, in the order of its revision (1, 2, ...).
class ChangeLog {
public:
  /// Readers get single changes only of the last History ones.
  explicit ChangeLog(std::size_t History);

  std::uint64_t publish(const std::string &Key, const std::string &Text);

  std::uint64_t latest() const;

  /// What a reader that knows Since gets when Latest is the last revision that
  /// the service shows.
  ChangesReply changesSince(std::uint64_t Since, std::uint64_t Latest) const;

private:
  std::vector<ChangeEntry> currentSet(std::uint64_t Latest) const;

  std::size_t History;
  std::vector<ChangeEntry> Entries;
};

} // namespace acaciacross::standins

#endif
