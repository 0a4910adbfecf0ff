#ifndef ACACIACROSS_COMMON_SLIDINGMAXIMUM_H
#define ACACIACROSS_COMMON_SLIDINGMAXIMUM_H

#include "Common/Time.h"

#include <chrono>
#include <deque>
#include <utility>

namespace acaciacross::common {

/// Maximum of the values that were added within a sliding time window.
template <typename Value> class SlidingMaximum {
public:
  explicit SlidingMaximum(std::chrono::milliseconds Window)
      : WindowLength(Window) {}

  void add(MonotonicTime Now, Value Newest) {
    while (!this->Candidates.empty() &&
           this->Candidates.back().second <= Newest)
      this->Candidates.pop_back();
    this->Candidates.emplace_back(Now, Newest);
  }

  /// Needs at least one added value. The newest value counts even when it is
  /// older than the window.
  Value maximum(MonotonicTime Now) {
    while (this->Candidates.size() > 1 &&
           Now - this->Candidates.front().first > this->WindowLength)
      this->Candidates.pop_front();
    return this->Candidates.front().second;
  }

private:
  std::chrono::milliseconds WindowLength;
  /// Values that can still become the maximum, oldest first. They strictly
  /// decrease, because a new value removes the earlier ones that are not
  /// larger.
  std::deque<std::pair<MonotonicTime, Value>> Candidates;
};

} // namespace acaciacross::common

#endif
