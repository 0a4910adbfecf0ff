#ifndef ACACIACROSS_STANDINS_SEARCHER_SERVICETIME_H
#define ACACIACROSS_STANDINS_SEARCHER_SERVICETIME_H

#include <chrono>

namespace acaciacross::standins {

/// Draws the service times of searches.
class ServiceTime {
public:
  virtual ~ServiceTime() = default;

  /// Service time of the next search.
  virtual std::chrono::microseconds next() = 0;
};

} // namespace acaciacross::standins

#endif
