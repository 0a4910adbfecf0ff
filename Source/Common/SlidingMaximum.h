#ifndef ACACIACROSS_COMMON_SLIDINGMAXIMUM_H
#define ACACIACROSS_COMMON_SLIDINGMAXIMUM_H

#include "Common/Time.h"

#include <chrono>
#include <deque>
#include <utility>

namespace acaciacross::common {

/// The largest of the values that were noted within a window.
template <typename Value> class SlidingMaximum {
public:
  explicit SlidingMaximum(std::chrono::milliseconds Window) : Length(Window) {}

  void note(MonotonicTime Now, Value Newest) {
    while (!this->Falling.empty() && this->Falling.back().second <= Newest)
      this->Falling.pop_back();
    this->Falling.emplace_back(Now, Newest);
  }

  /// Only after a value was noted; the newest one counts however old it is.
  Value largest(MonotonicTime Now) {
    while (this->Falling.size() > 1 &&
           Now - this->Falling.front().first > this->Length)
      this->Falling.pop_front();
    return this->Falling.front().second;
  }

private:
  std::chrono::milliseconds Length;
  /// Values that fall with their time; larger ones before a newer one suffice.
  std::deque<std::pair<MonotonicTime, Value>> Falling;
};

} // namespace acaciacross::common

#endif
