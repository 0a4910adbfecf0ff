#ifndef ACACIACROSS_LIMITS_ADMISSIONENTRY_H
#define ACACIACROSS_LIMITS_ADMISSIONENTRY_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::limits {

/// A request for admission. The owner stores the request itself under Number.
struct AdmissionEntry {
  std::uint64_t Number = 0;
  common::ClassName Class;
  common::MonotonicTime ArrivedAt;
  common::MonotonicTime Deadline;
};

} // namespace acaciacross::limits

#endif
