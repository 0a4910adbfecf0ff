#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_CLASSENTRY_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_CLASSENTRY_H

#include "Programs/OperatorCli/ClassResults.h"
#include "Programs/OperatorCli/ClassTarget.h"
#include "Programs/OperatorCli/OptionalMember.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>

#include <string>

namespace acaciacross::operatorcli {

/// A class on the status page.
struct ClassEntry {
  std::string Name;
  std::string Service;
  ClassTarget Target;
  ClassResults Achieved;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("name", this->Name),
       cereal::make_nvp("service", this->Service),
       cereal::make_nvp("target", this->Target));
    readOptional(Ar, "achieved", this->Achieved);
  }
};

} // namespace acaciacross::operatorcli

#endif
