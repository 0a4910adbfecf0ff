#ifndef ACACIACROSS_QUERY_ATTEMPTRESULT_H
#define ACACIACROSS_QUERY_ATTEMPTRESULT_H

#include "Query/AttemptStatus.h"
#include "Query/ShardReply.h"

#include <chrono>
#include <optional>

namespace acaciacross::query {

/// How an attempt ended, with the reply if one came.
struct AttemptResult {
  common::AttemptId Attempt;
  AttemptStatus Status = AttemptStatus::Lost;
  /// Set when Status is Answered.
  std::optional<ShardReply> Reply;
  /// Time from the start of the attempt to its end.
  std::chrono::nanoseconds Elapsed{0};
  /// The searcher announced that it is draining.
  bool IsDraining = false;
};

} // namespace acaciacross::query

#endif
