#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_CLASSRESULT_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_CLASSRESULT_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciacross::loadgenerator {

/// What became of the requests of one class.
struct ClassResult {
  /// From the intended send time to the answer; complete and partial answers
  /// only.
  std::vector<std::chrono::microseconds> Latencies;
  double CoverageSum = 0.0;
  /// "complete", "partial", "refused", "failed", "broken" (no reply: may have
  /// run), "no_ticket" and "not_sent" (neither was run).
  std::map<std::string, std::uint64_t> Outcomes;

  /// Nearest rank; 0 without answers.
  std::chrono::microseconds percentile(double Percent) const;
  double meanCoverage() const;
};

} // namespace acaciacross::loadgenerator

#endif
