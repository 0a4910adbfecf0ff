#ifndef ACACIACROSS_TRAFFIC_RUNNINGQUERY_H
#define ACACIACROSS_TRAFFIC_RUNNINGQUERY_H

#include "Query/QueryExecution.h"
#include "Traffic/ClassState.h"
#include "Traffic/ReplySink.h"
#include "Traffic/TrafficRequest.h"

#include <memory>

namespace acaciacross::traffic {

/// A query that waits for admission or runs.
struct RunningQuery {
  TrafficRequest Request;
  std::shared_ptr<ReplySink> Sink;
  ClassState *Class = nullptr;
  /// Null while the query waits for admission.
  std::unique_ptr<query::QueryExecution> Execution;
  common::MonotonicTime AdmittedAt;
  common::MonotonicTime TimerAt;
};

} // namespace acaciacross::traffic

#endif
