#ifndef ACACIACROSS_SYSTEMTESTS_CALLERCOUNTS_H
#define ACACIACROSS_SYSTEMTESTS_CALLERCOUNTS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// Counts of the queries that callers sent and of their outcomes.
struct CallerCounts {
  std::map<std::string, std::uint64_t> Outcomes;
  std::map<std::string, std::uint64_t> QueriesByAddress;
  /// Errors of calls without a complete reply.
  std::vector<std::string> Errors;

  void add(const CallerCounts &Other);
  std::uint64_t queries() const;
  std::string text() const;
};

} // namespace acaciacross::systemtests

#endif
