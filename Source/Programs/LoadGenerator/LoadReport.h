#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADREPORT_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADREPORT_H

#include "Programs/LoadGenerator/AttemptCounts.h"
#include "Programs/LoadGenerator/ClassResult.h"

namespace acaciacross::loadgenerator {

/// Results of a run for all classes.
class LoadReport {
public:
  void addAnswer(const std::string &Class, const std::string &Outcome,
                 std::chrono::microseconds Latency, double Coverage);
  void addWithoutAnswer(const std::string &Class, const std::string &Outcome);
  /// Numbers of attempts during the run only.
  void setAttempts(const AttemptCounts &Counts);

  std::string text() const;
  std::string json() const;
  /// Number of complete and partial answers.
  std::uint64_t answers() const;

private:
  double extraLoad() const;

  std::map<std::string, ClassResult> Classes;
  AttemptCounts Attempts;
};

} // namespace acaciacross::loadgenerator

#endif
