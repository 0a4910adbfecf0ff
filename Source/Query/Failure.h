#ifndef ACACIACROSS_QUERY_FAILURE_H
#define ACACIACROSS_QUERY_FAILURE_H

#include "Common/ResultCode.h"

namespace acaciacross::query {

/// The request got no answer, and an upstream may have started its work.
struct Failure {
  common::ResultCode Code = common::ResultCode::AttemptLost;
};

} // namespace acaciacross::query

#endif
