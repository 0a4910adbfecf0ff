#ifndef ACACIACROSS_TESTSUPPORT_FIXEDHEDGEPOLICY_H
#define ACACIACROSS_TESTSUPPORT_FIXEDHEDGEPOLICY_H

#include "Query/HedgePolicy.h"

namespace acaciacross::testsupport {

/// Hedges after a fixed delay, or never when Delay is empty.
class FixedHedgePolicy final : public query::HedgePolicy {
public:
  explicit FixedHedgePolicy(std::optional<std::chrono::nanoseconds> Delay)
      : Delay(Delay) {}

  std::optional<std::chrono::nanoseconds> delay() const override {
    return this->Delay;
  }
  void onReply(std::chrono::nanoseconds /*Elapsed*/) override {}

private:
  std::optional<std::chrono::nanoseconds> Delay;
};

} // namespace acaciacross::testsupport

#endif
