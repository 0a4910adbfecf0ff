#ifndef ACACIACROSS_MEMBERSHIP_DRAINNOTICE_H
#define ACACIACROSS_MEMBERSHIP_DRAINNOTICE_H

#include "Common/Identifiers.h"

#include <chrono>

namespace acaciacross::membership {

/// A searcher that some VM saw leaving. The age stands for the moment of the
/// first sign because the VMs' monotonic clocks are not comparable.
struct DrainNotice {
  common::SearcherId Searcher;
  std::chrono::milliseconds Age{0};

  bool operator==(const DrainNotice &) const = default;
};

} // namespace acaciacross::membership

#endif
