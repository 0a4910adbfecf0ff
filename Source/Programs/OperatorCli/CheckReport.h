#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_CHECKREPORT_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_CHECKREPORT_H

#include "Programs/OperatorCli/CheckResult.h"

#include <vector>

namespace acaciacross::operatorcli {

/// Formats the results of document checks.
class CheckReport {
public:
  static std::string text(const std::vector<CheckResult> &Results);
  static std::string json(const std::vector<CheckResult> &Results);
  /// The first status that is not Ok, or Ok when all files are valid.
  static ExitStatus status(const std::vector<CheckResult> &Results);
};

} // namespace acaciacross::operatorcli

#endif
