#ifndef ACACIACROSS_STANDINS_SEARCHER_SERVICETIME_H
#define ACACIACROSS_STANDINS_SEARCHER_SERVICETIME_H

#include <chrono>

namespace acaciacross::standins {

/// How long the next search takes.
class ServiceTime {
public:
  virtual ~ServiceTime() = default;

  virtual std::chrono::microseconds next() = 0;
};

} // namespace acaciacross::standins

#endif
