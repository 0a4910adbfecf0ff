#ifndef ACACIACROSS_UNITTESTS_FORWARDING_NULLATTEMPTLISTENER_H
#define ACACIACROSS_UNITTESTS_FORWARDING_NULLATTEMPTLISTENER_H

#include "Forwarding/AttemptListener.h"

namespace acaciacross::forwarding {

/// A listener that only stands for a waiting attempt.
class NullAttemptListener final : public AttemptListener {
public:
  void onAttemptEnded(AttemptNumber, AttemptResult) override {}
  void onConnectionAvailable(const common::ServiceName &) override {}
};

} // namespace acaciacross::forwarding

#endif
