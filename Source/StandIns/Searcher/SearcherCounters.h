#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERCOUNTERS_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERCOUNTERS_H

#include <cstdint>
#include <string>

namespace acaciacross::standins {

/// One entry of GET /control/counters.
struct SearcherCounters {
  std::string Searcher;
  std::uint64_t ConnectionsOpen = 0;
  std::uint64_t ConnectionsPeak = 0;
  std::uint64_t ConnectionsAccepted = 0;
  std::uint64_t ConnectionsRefused = 0;
  /// Searches received, with any outcome.
  std::uint64_t Attempts = 0;
  /// Searches that were given a slot before their deadline.
  std::uint64_t Executions = 0;
  /// Searches whose caller closed the connection, before or after the start.
  std::uint64_t Cancelled = 0;
  std::uint64_t Shed = 0;
  std::uint64_t DeadlinePassed = 0;
};

} // namespace acaciacross::standins

#endif
