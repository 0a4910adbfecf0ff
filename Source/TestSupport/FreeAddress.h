#ifndef ACACIACROSS_TESTSUPPORT_FREEADDRESS_H
#define ACACIACROSS_TESTSUPPORT_FREEADDRESS_H

#include "Common/Address.h"

namespace acaciacross::testsupport {

/// A loopback address with a free TCP port. The port is not reserved: another
/// process may bind it first.
common::Address freeAddress();

} // namespace acaciacross::testsupport

#endif
