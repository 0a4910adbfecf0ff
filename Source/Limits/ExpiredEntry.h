#ifndef ACACIACROSS_LIMITS_EXPIREDENTRY_H
#define ACACIACROSS_LIMITS_EXPIREDENTRY_H

#include "Common/ResultCode.h"
#include "Limits/AdmissionEntry.h"

namespace acaciacross::limits {

/// A request that expired while it waited; it has not run.
struct ExpiredEntry {
  AdmissionEntry Entry;
  /// Overloaded or DeadlineTooShort.
  common::ResultCode Code = common::ResultCode::Overloaded;
};

} // namespace acaciacross::limits

#endif
