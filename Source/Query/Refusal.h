#ifndef ACACIACROSS_QUERY_REFUSAL_H
#define ACACIACROSS_QUERY_REFUSAL_H

#include "Common/ResultCode.h"

namespace acaciacross::query {

/// The request got no answer, and no upstream started its work.
struct Refusal {
  common::ResultCode Code = common::ResultCode::Overloaded;
};

} // namespace acaciacross::query

#endif
