#ifndef ACACIACROSS_QUERY_QUERYDEPENDENCIES_H
#define ACACIACROSS_QUERY_QUERYDEPENDENCIES_H

#include "Query/AttemptIdSource.h"
#include "Query/AttemptPort.h"
#include "Query/HedgePolicy.h"
#include "Query/LoadBudget.h"
#include "Query/ReplicaSelector.h"

namespace acaciacross::query {

/// Objects that a query uses. They belong to the traffic thread of the query
/// and must outlive it.
struct QueryDependencies {
  AttemptPort &Port;
  ReplicaSelector &Replicas;
  HedgePolicy &Hedging;
  LoadBudget &Budget;
  AttemptIdSource &Ids;
};

} // namespace acaciacross::query

#endif
