#ifndef ACACIACROSS_FRONTEND_MISSREASON_H
#define ACACIACROSS_FRONTEND_MISSREASON_H

namespace acaciacross::frontend {

/// Why a class misses its target.
enum class MissReason {
  /// Requests wait because the adaptive concurrency limit is reached.
  ConcurrencyLimit,
  /// The extra load budget leaves no hedges and retries.
  BudgetEmpty,
  /// A shard of the newest snapshot has no usable replica.
  MissingReplicas,
  /// No request waits, but the searchers take longer than the target.
  SlowUpstreams,
};

} // namespace acaciacross::frontend

#endif
