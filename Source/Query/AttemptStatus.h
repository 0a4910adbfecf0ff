#ifndef ACACIACROSS_QUERY_ATTEMPTSTATUS_H
#define ACACIACROSS_QUERY_ATTEMPTSTATUS_H

namespace acaciacross::query {

/// How an attempt ended.
enum class AttemptStatus {
  Answered,

  /// No byte of the request was sent: the connection was refused or could not
  /// be made.
  NotSent,
  /// The searcher refused before starting: overloaded or draining.
  Shed,
  /// The searcher refused before starting: it does not hold the snapshot.
  SnapshotGone,
  /// The searcher refused before starting: it does not hold the shard.
  ShardGone,
  /// The searcher refused before starting: the deadline had passed.
  ExpiredBeforeStart,

  /// Sent, but no valid reply came: broken connection, timeout or bad reply.
  Lost,
  /// Cancelled by this VM; the searcher may have run it.
  Cancelled,
};

/// True when the status proves that the searcher did not start the work.
bool provesNotRun(AttemptStatus Status);

} // namespace acaciacross::query

#endif
