#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_CLASSRESULT_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_CLASSRESULT_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciacross::loadgenerator {

/// Results of the requests of one class.
struct ClassResult {
  /// Time from the intended send time to the answer, for complete and partial
  /// answers only.
  std::vector<std::chrono::microseconds> Latencies;
  double CoverageSum = 0.0;
  /// Number of requests by outcome: "complete", "partial", "refused", "failed",
  /// "broken" (no response, the request may have run), "no_ticket" and
  /// "not_sent" (the request was not run in either case).
  std::map<std::string, std::uint64_t> Outcomes;

  /// Percentile of the latencies by nearest rank; 0 without answers.
  std::chrono::microseconds percentile(double Percent) const;
  double meanCoverage() const;
};

} // namespace acaciacross::loadgenerator

#endif
