#ifndef ACACIACROSS_TESTSUPPORT_QUERYRUN_H
#define ACACIACROSS_TESTSUPPORT_QUERYRUN_H

#include "Query/QueryExecution.h"

#include <utility>
#include <vector>

namespace acaciacross::testsupport {

/// A query that QueryRunner runs.
struct QueryRun {
  QueryRun(query::QueryRequest Request,
           std::shared_ptr<const query::ServiceView> View,
           query::QueryDependencies Dependencies,
           common::MonotonicTime StartedAt)
      : Execution(std::move(Request), std::move(View), Dependencies),
        StartedAt(StartedAt) {}

  query::QueryExecution Execution;
  common::MonotonicTime StartedAt;
  common::MonotonicTime FinishedAt;
  /// Time of the earliest timer of the query in the event queue.
  common::MonotonicTime TimerAt = common::MonotonicTime::max();
  std::vector<common::AttemptId> Attempts;
  /// True once the end of the query has been reported.
  bool IsReported = false;
};

} // namespace acaciacross::testsupport

#endif
