#ifndef ACACIACROSS_QUERY_QUERYDEPENDENCIES_H
#define ACACIACROSS_QUERY_QUERYDEPENDENCIES_H

#include "Query/AttemptIdGenerator.h"
#include "Query/AttemptSender.h"
#include "Query/HedgePolicy.h"
#include "Query/LoadBudget.h"
#include "Query/ReplicaSelector.h"

namespace acaciacross::query {

/// Objects that a query uses. They belong to the traffic thread of the query
/// and must outlive it.
struct QueryDependencies {
  AttemptSender &Sender;
  ReplicaSelector &Selector;
  HedgePolicy &Hedging;
  LoadBudget &Budget;
  AttemptIdGenerator &Ids;
};

} // namespace acaciacross::query

#endif
