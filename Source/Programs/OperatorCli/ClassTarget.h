#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_CLASSTARGET_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_CLASSTARGET_H

#include <cereal/cereal.hpp>

namespace acaciacross::operatorcli {

/// Targets of a class on the status page.
struct ClassTarget {
  double LatencyMs = 0;
  double Coverage = 0;
  double ExtraLoad = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("latency_ms", this->LatencyMs),
       cereal::make_nvp("coverage", this->Coverage),
       cereal::make_nvp("extra_load", this->ExtraLoad));
  }
};

} // namespace acaciacross::operatorcli

#endif
