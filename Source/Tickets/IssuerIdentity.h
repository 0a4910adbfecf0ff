#ifndef ACACIACROSS_TICKETS_ISSUERIDENTITY_H
#define ACACIACROSS_TICKETS_ISSUERIDENTITY_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::tickets {

/// What a process puts into its tickets.
struct IssuerIdentity {
  common::VmId Vm;
  common::Address Callers;
  common::Incarnation Issuer;
  common::MonotonicTime StartedAt;
  /// Random, known to this process only.
  std::uint64_t Secret = 0;
};

} // namespace acaciacross::tickets

#endif
