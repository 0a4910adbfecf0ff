#ifndef ACACIACROSS_TESTSUPPORT_FINDFREEADDRESS_H
#define ACACIACROSS_TESTSUPPORT_FINDFREEADDRESS_H

#include "Common/Address.h"

namespace acaciacross::testsupport {

/// A loopback address with a free TCP port. The port is not reserved: another
/// process may bind it first.
common::Address findFreeAddress();

} // namespace acaciacross::testsupport

#endif
