#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_DOCUMENTCHECK_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_DOCUMENTCHECK_H

#include "Programs/OperatorCli/CheckResult.h"

#include <string>

namespace acaciacross::operatorcli {

/// Checks a file with the parser that the entry VMs use for it.
class DocumentCheck {
public:
  /// The name decides on the kind: "classes.toml" and "service-<name>.toml" are
  /// published documents, other files are settings of an entry VM.
  static CheckResult run(const std::string &File);
};

} // namespace acaciacross::operatorcli

#endif
