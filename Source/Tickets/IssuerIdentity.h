#ifndef ACACIACROSS_TICKETS_ISSUERIDENTITY_H
#define ACACIACROSS_TICKETS_ISSUERIDENTITY_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::tickets {

/// Identity of a process that issues tickets.
struct IssuerIdentity {
  common::VmId Vm;
  /// Address at which callers reach the process.
  common::Address CallerAddress;
  common::Incarnation Issuer;
  common::MonotonicTime StartedAt;
  /// Random key, known only to this process.
  std::uint64_t Secret = 0;
};

} // namespace acaciacross::tickets

#endif
