#ifndef ACACIACROSS_QUERY_HEDGEPOLICY_H
#define ACACIACROSS_QUERY_HEDGEPOLICY_H

#include <chrono>
#include <optional>

namespace acaciacross::query {

/// Decides how long to wait for a reply before a second replica is asked.
class HedgePolicy {
public:
  virtual ~HedgePolicy() = default;

  /// Time from the start of an attempt to its hedge; empty when no hedge is to
  /// be sent.
  virtual std::optional<std::chrono::nanoseconds> delay() const = 0;

  /// Called for each valid reply with the duration of its attempt.
  virtual void onReply(std::chrono::nanoseconds Elapsed) = 0;
};

} // namespace acaciacross::query

#endif
