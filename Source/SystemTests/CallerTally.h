#ifndef ACACIACROSS_SYSTEMTESTS_CALLERTALLY_H
#define ACACIACROSS_SYSTEMTESTS_CALLERTALLY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// What callers got.
struct CallerTally {
  std::map<std::string, std::uint64_t> Outcomes;
  /// Queries per address.
  std::map<std::string, std::uint64_t> Sent;
  /// Calls without a whole reply.
  std::vector<std::string> Problems;

  void add(const CallerTally &Other);
  std::uint64_t queries() const;
  std::string text() const;
};

} // namespace acaciacross::systemtests

#endif
