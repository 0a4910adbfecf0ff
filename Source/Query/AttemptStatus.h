#ifndef ACACIACROSS_QUERY_ATTEMPTSTATUS_H
#define ACACIACROSS_QUERY_ATTEMPTSTATUS_H

namespace acaciacross::query {

/// How an attempt ended.
enum class AttemptStatus {
  Answered,

  /// No byte of the request was sent: connection refused or not made.
  NotSent,
  /// The searcher refused before starting: overloaded or draining.
  Shed,
  /// The searcher refused before starting: it does not hold the snapshot.
  SnapshotGone,
  /// The searcher refused before starting: it does not hold the shard.
  ShardGone,
  /// The searcher refused before starting: the deadline had passed.
  ExpiredBeforeStart,

  /// Sent, and no valid reply came: broken connection, timeout, bad reply.
  Lost,
  /// Cancelled by this VM; it may have run.
  Cancelled,
};

/// True when the status proves that the searcher did not start the work.
bool provesNotRun(AttemptStatus Status);

} // namespace acaciacross::query

#endif
