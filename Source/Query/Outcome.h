#ifndef ACACIACROSS_QUERY_OUTCOME_H
#define ACACIACROSS_QUERY_OUTCOME_H

#include "Query/CompleteAnswer.h"
#include "Query/Failure.h"
#include "Query/PartialAnswer.h"
#include "Query/Refusal.h"

#include <variant>

namespace acaciacross::query {

/// All ways in which a request can end.
using Outcome = std::variant<CompleteAnswer, PartialAnswer, Refusal, Failure>;

} // namespace acaciacross::query

#endif
