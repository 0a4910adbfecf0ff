#ifndef ACACIACROSS_FORWARDING_REPLICACHOICE_H
#define ACACIACROSS_FORWARDING_REPLICACHOICE_H

#include "Common/Time.h"
#include "Forwarding/AttemptPort.h"
#include "Forwarding/ReplicaRecord.h"

#include <chrono>
#include <memory>
#include <span>

namespace acaciacross::forwarding {

/// Chooses the searcher of an attempt.
class ReplicaChoice {
public:
  virtual ~ReplicaChoice() = default;

  /// One of Replicas that is listed, reachable, not in Tried and has room for
  /// an attempt; null when there is none. Typical: the usual latency of such
  /// attempts.
  virtual std::shared_ptr<ReplicaRecord>
  choose(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
         std::span<const ReplicaRecord *const> Tried, const AttemptPort &Port,
         common::MonotonicTime Now, std::chrono::nanoseconds Typical) = 0;
};

} // namespace acaciacross::forwarding

#endif
