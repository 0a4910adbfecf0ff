#ifndef ACACIACROSS_TESTSUPPORT_QUERYRUN_H
#define ACACIACROSS_TESTSUPPORT_QUERYRUN_H

#include "Query/QueryExecution.h"

#include <utility>
#include <vector>

namespace acaciacross::testsupport {

/// A query that QueryRunner drives.
struct QueryRun {
  QueryRun(query::QueryRequest Accepted,
           std::shared_ptr<const query::ServiceView> View,
           query::QueryDependencies Used, common::MonotonicTime StartedAt)
      : Execution(std::move(Accepted), std::move(View), Used),
        StartedAt(StartedAt) {}

  query::QueryExecution Execution;
  common::MonotonicTime StartedAt;
  common::MonotonicTime FinishedAt;
  /// Earliest timer in the event queue.
  common::MonotonicTime TimerAt = common::MonotonicTime::max();
  std::vector<common::AttemptId> Attempts;
  bool IsReported = false;
};

} // namespace acaciacross::testsupport

#endif
