#ifndef ACACIACROSS_FRONTEND_MISSREASON_H
#define ACACIACROSS_FRONTEND_MISSREASON_H

namespace acaciacross::frontend {

/// Why a class misses its target.
enum class MissReason {
  /// Requests wait, because the adaptive limit lets no more run.
  Limit,
  /// Nothing is left for hedges and retries.
  BudgetEmpty,
  /// A shard of the newest snapshot has no usable replica.
  MissingReplicas,
  /// Nothing waits, and the searchers take longer than the target.
  SlowUpstreams,
};

} // namespace acaciacross::frontend

#endif
