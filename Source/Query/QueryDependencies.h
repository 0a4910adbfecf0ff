#ifndef ACACIACROSS_QUERY_QUERYDEPENDENCIES_H
#define ACACIACROSS_QUERY_QUERYDEPENDENCIES_H

#include "Query/AttemptIdSource.h"
#include "Query/AttemptPort.h"
#include "Query/HedgePolicy.h"
#include "Query/LoadBudget.h"
#include "Query/ReplicaSelector.h"

namespace acaciacross::query {

/// What a query uses; all of it outlives the query and belongs to the same
/// traffic thread.
struct QueryDependencies {
  AttemptPort &Port;
  ReplicaSelector &Replicas;
  HedgePolicy &Hedging;
  LoadBudget &Budget;
  AttemptIdSource &Ids;
};

} // namespace acaciacross::query

#endif
