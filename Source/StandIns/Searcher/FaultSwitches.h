#ifndef ACACIACROSS_STANDINS_SEARCHER_FAULTSWITCHES_H
#define ACACIACROSS_STANDINS_SEARCHER_FAULTSWITCHES_H

#include "StandIns/Searcher/Faults.h"

#include <string>

namespace acaciacross::standins {

/// Sets faults by their names in POST /control/faults.
class FaultSwitches {
public:
  explicit FaultSwitches(Faults &ActiveFaults) : ActiveFaults(ActiveFaults) {}

  /// False when the name is unknown or the value is malformed.
  bool set(const std::string &Name, const std::string &Value);

private:
  bool *findFlag(const std::string &Name);

  Faults &ActiveFaults;
};

} // namespace acaciacross::standins

#endif
