#ifndef ACACIACROSS_STANDINS_HTTP_LAGGEDVALUE_H
#define ACACIACROSS_STANDINS_HTTP_LAGGEDVALUE_H

#include "Common/Time.h"

#include <deque>
#include <utility>

namespace acaciacross::standins {

/// A value with a delay for readers: they see what it was a given time ago.
template <typename T> class LaggedValue {
public:
  explicit LaggedValue(T Initial) {
    this->History.emplace_back(common::MonotonicTime::min(),
                               std::move(Initial));
  }

  void set(common::MonotonicTime Now, T Value) {
    // Readers ask for a lag of at most MaxLag, so entries replaced before that
    // are never read.
    while (this->History.size() > 1 && this->History[1].first < Now - MaxLag)
      this->History.pop_front();
    this->History.emplace_back(Now, std::move(Value));
  }

  /// The value at Now - Lag. Lag is at most MaxLag.
  const T &read(common::MonotonicTime Now,
                std::chrono::milliseconds Lag) const {
    auto It = this->History.rbegin();
    while (It + 1 != this->History.rend() && It->first > Now - Lag)
      ++It;
    return It->second;
  }

private:
  static constexpr std::chrono::minutes MaxLag{2};

  std::deque<std::pair<common::MonotonicTime, T>> History;
};

} // namespace acaciacross::standins

#endif
