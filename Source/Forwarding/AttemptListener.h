#ifndef ACACIACROSS_FORWARDING_ATTEMPTLISTENER_H
#define ACACIACROSS_FORWARDING_ATTEMPTLISTENER_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptNumber.h"
#include "Forwarding/AttemptResult.h"

namespace acaciacross::forwarding {

/// Receives the results of the attempts that it started. The sender never calls
/// it from within a call of one of its own functions.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  virtual void onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) = 0;
  /// A searcher of the service can take an attempt again. Called once after
  /// AttemptSender::awaitConnection.
  virtual void onConnectionAvailable(const common::ServiceName &Service) = 0;
};

} // namespace acaciacross::forwarding

#endif
