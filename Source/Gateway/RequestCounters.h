#ifndef ACACIACROSS_GATEWAY_REQUESTCOUNTERS_H
#define ACACIACROSS_GATEWAY_REQUESTCOUNTERS_H

#include "Common/ResultCode.h"
#include "Forwarding/AnswerKind.h"
#include "Gateway/PriorityCounter.h"
#include "Metrics/LatencyHistogram.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <utility>

namespace acaciacross::gateway {

/// Counts the answers that callers received, by route.
class RequestCounters {
public:
  void recordAnswer(const std::string &Route, int Priority,
                    forwarding::AnswerKind Kind, common::ResultCode Code,
                    std::size_t MissingShards, std::chrono::nanoseconds Latency,
                    std::chrono::milliseconds Target);
  /// The caller closed its connection before the answer.
  void noteAbandoned(const std::string &Route);
  /// The request was rejected before a route was found.
  void noteUnrouted(common::ResultCode Code);

  /// Writes the counters in the Prometheus text format.
  void write(std::ostream &Page) const;

private:
  struct RouteCounts {
    std::map<std::pair<forwarding::AnswerKind, common::ResultCode>,
             std::uint64_t>
        Answers;
    std::uint64_t Abandoned = 0;
    std::uint64_t Late = 0;
    std::uint64_t MissingShards = 0;
    metrics::LatencyHistogram Latency;
  };

  RouteCounts &countsFor(const std::string &Route);

  std::map<std::string, RouteCounts> Routes;
  std::map<common::ResultCode, std::uint64_t> Unrouted;
  PriorityCounter Admitted;
  PriorityCounter Refused;
};

} // namespace acaciacross::gateway

#endif
