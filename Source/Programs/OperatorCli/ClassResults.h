#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_CLASSRESULTS_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_CLASSRESULTS_H

#include "Programs/OperatorCli/OptionalMember.h"

#include <cereal/cereal.hpp>

#include <cstdint>

namespace acaciacross::operatorcli {

/// Achieved values of a class on the status page. LatencyMs and Coverage are 0
/// when there are no answers.
struct ClassResults {
  std::uint64_t Answers = 0;
  double LatencyMs = 0;
  double Coverage = 0;
  double ExtraLoad = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("answers", this->Answers));
    readOptional(Ar, "latency_ms", this->LatencyMs);
    readOptional(Ar, "coverage", this->Coverage);
    Ar(cereal::make_nvp("extra_load", this->ExtraLoad));
  }
};

} // namespace acaciacross::operatorcli

#endif
