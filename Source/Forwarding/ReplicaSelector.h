#ifndef ACACIACROSS_FORWARDING_REPLICASELECTOR_H
#define ACACIACROSS_FORWARDING_REPLICASELECTOR_H

#include "Common/Time.h"
#include "Forwarding/AttemptSender.h"
#include "Forwarding/ReplicaRecord.h"

#include <chrono>
#include <memory>
#include <span>

namespace acaciacross::forwarding {

/// Selects the searcher for an attempt.
class ReplicaSelector {
public:
  virtual ~ReplicaSelector() = default;

  /// Returns a listed, reachable replica that is not in Tried and has a free
  /// connection for an attempt; null when there is none. Typical: typical
  /// latency of attempts of the route.
  virtual std::shared_ptr<ReplicaRecord>
  choose(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
         std::span<const ReplicaRecord *const> Tried,
         const AttemptSender &Sender, common::MonotonicTime Now,
         std::chrono::nanoseconds Typical) = 0;
};

} // namespace acaciacross::forwarding

#endif
