#ifndef ACACIACROSS_STANDINS_HTTP_LAGGEDVALUE_H
#define ACACIACROSS_STANDINS_HTTP_LAGGEDVALUE_H

#include "Common/Time.h"

#include <deque>
#include <utility>

namespace acaciacross::standins {

/// A value of which readers see what it was some time ago.
template <typename T> class LaggedValue {
public:
  explicit LaggedValue(T Initial) {
    this->History.emplace_back(common::MonotonicTime::min(),
                               std::move(Initial));
  }

  void set(common::MonotonicTime Now, T Value) {
    // Lags are at most Horizon, so older entries are never read.
    while (this->History.size() > 1 && this->History[1].first < Now - Horizon)
      this->History.pop_front();
    this->History.emplace_back(Now, std::move(Value));
  }

  const T &read(common::MonotonicTime Now,
                std::chrono::milliseconds Lag) const {
    auto Entry = this->History.rbegin();
    while (Entry + 1 != this->History.rend() && Entry->first > Now - Lag)
      ++Entry;
    return Entry->second;
  }

private:
  static constexpr std::chrono::minutes Horizon{2};

  std::deque<std::pair<common::MonotonicTime, T>> History;
};

} // namespace acaciacross::standins

#endif
