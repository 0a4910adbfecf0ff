#ifndef ACACIACROSS_STANDINS_SEARCHER_FAULTSWITCHES_H
#define ACACIACROSS_STANDINS_SEARCHER_FAULTSWITCHES_H

#include "StandIns/Searcher/Faults.h"

#include <string>

namespace acaciacross::standins {

/// Sets faults by the names that the control address uses.
class FaultSwitches {
public:
  explicit FaultSwitches(Faults &Target) : Target(Target) {}

  /// False when the name is unknown or the value is malformed.
  bool set(const std::string &Name, const std::string &Value);

private:
  bool *findSwitch(const std::string &Name);

  Faults &Target;
};

} // namespace acaciacross::standins

#endif
