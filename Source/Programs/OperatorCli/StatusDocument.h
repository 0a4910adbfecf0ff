#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_STATUSDOCUMENT_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_STATUSDOCUMENT_H

#include "Programs/OperatorCli/ClassEntry.h"
#include "Programs/OperatorCli/FleetEntry.h"
#include "Programs/OperatorCli/ServiceEntry.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// The status page of an entry VM.
struct StatusDocument {
  std::string Vm;
  std::string State;
  std::uint64_t Revision = 0;
  double ViewAgeMs = 0;
  std::vector<ClassEntry> Classes;
  std::vector<ServiceEntry> Services;
  std::vector<FleetEntry> Fleet;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("vm", this->Vm), cereal::make_nvp("state", this->State),
       cereal::make_nvp("revision", this->Revision),
       cereal::make_nvp("view_age_ms", this->ViewAgeMs),
       cereal::make_nvp("classes", this->Classes),
       cereal::make_nvp("services", this->Services),
       cereal::make_nvp("fleet", this->Fleet));
  }
};

} // namespace acaciacross::operatorcli

#endif
