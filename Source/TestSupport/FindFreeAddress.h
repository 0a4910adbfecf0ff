#ifndef ACACIACROSS_TESTSUPPORT_FINDFREEADDRESS_H
#define ACACIACROSS_TESTSUPPORT_FINDFREEADDRESS_H

#include "Common/Address.h"

namespace acaciacross::testsupport {

/// A loopback address with a free TCP port, another one with each call. The
/// host is not used by other processes that call this. Not thread-safe.
common::Address findFreeAddress();

} // namespace acaciacross::testsupport

#endif
