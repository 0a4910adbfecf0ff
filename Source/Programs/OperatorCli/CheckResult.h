#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_CHECKRESULT_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_CHECKRESULT_H

#include "Programs/OperatorCli/ExitStatus.h"

#include <string>

namespace acaciacross::operatorcli {

/// Result of the check of one file.
struct CheckResult {
  std::string File;
  /// "classes", "service" or "entry".
  std::string Kind;
  ExitStatus Status = ExitStatus::Ok;
  /// Empty when the file is valid.
  std::string Problem;
};

} // namespace acaciacross::operatorcli

#endif
