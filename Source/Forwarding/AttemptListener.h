#ifndef ACACIACROSS_FORWARDING_ATTEMPTLISTENER_H
#define ACACIACROSS_FORWARDING_ATTEMPTLISTENER_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptNumber.h"
#include "Forwarding/AttemptResult.h"

namespace acaciacross::forwarding {

/// Told of the attempts that it started. Never called from within a call of the
/// port.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  virtual void onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) = 0;
  /// A searcher of the service that the listener awaits has room again.
  virtual void onRoom(const common::ServiceName &Service) = 0;
};

} // namespace acaciacross::forwarding

#endif
