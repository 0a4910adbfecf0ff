#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_DOCUMENTCHECK_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_DOCUMENTCHECK_H

#include "Programs/OperatorCli/CheckResult.h"

#include <string>

namespace acaciacross::operatorcli {

/// Checks a file with the parser that the entry VMs use for it.
class DocumentCheck {
public:
  /// The file name selects the kind: "classes.toml" and "service-<name>.toml"
  /// are published documents, all other files are settings of an entry VM.
  static CheckResult run(const std::string &File);
};

} // namespace acaciacross::operatorcli

#endif
