#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_FLEETENTRY_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_FLEETENTRY_H

#include "Programs/OperatorCli/OptionalMember.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>

#include <string>

namespace acaciacross::operatorcli {

/// An entry VM on the status page. EvidenceAgeMs is absent, and so 0, for the
/// VM that serves the page.
struct FleetEntry {
  std::string Vm;
  std::string Address;
  std::string FailureDomain;
  double EvidenceAgeMs = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("vm", this->Vm),
       cereal::make_nvp("address", this->Address),
       cereal::make_nvp("failure_domain", this->FailureDomain));
    readOptional(Ar, "evidence_age_ms", this->EvidenceAgeMs);
  }
};

} // namespace acaciacross::operatorcli

#endif
