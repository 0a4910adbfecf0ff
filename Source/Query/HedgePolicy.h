#ifndef ACACIACROSS_QUERY_HEDGEPOLICY_H
#define ACACIACROSS_QUERY_HEDGEPOLICY_H

#include <chrono>
#include <optional>

namespace acaciacross::query {

/// Says how long to wait for a reply before asking a second replica.
class HedgePolicy {
public:
  virtual ~HedgePolicy() = default;

  /// Empty: do not hedge.
  virtual std::optional<std::chrono::nanoseconds> delay() const = 0;

  /// Told of the time that each valid reply took.
  virtual void onReply(std::chrono::nanoseconds Elapsed) = 0;
};

} // namespace acaciacross::query

#endif
