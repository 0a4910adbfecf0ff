#ifndef ACACIACROSS_STANDINS_SEARCHER_FIXEDSERVICETIME_H
#define ACACIACROSS_STANDINS_SEARCHER_FIXEDSERVICETIME_H

#include "StandIns/Searcher/ServiceTime.h"

namespace acaciacross::standins {

/// The same service time for every search.
class FixedServiceTime final : public ServiceTime {
public:
  explicit FixedServiceTime(std::chrono::microseconds Time) : Time(Time) {}

  std::chrono::microseconds next() override { return this->Time; }

private:
  std::chrono::microseconds Time;
};

} // namespace acaciacross::standins

#endif
