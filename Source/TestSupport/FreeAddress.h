#ifndef ACACIACROSS_TESTSUPPORT_FREEADDRESS_H
#define ACACIACROSS_TESTSUPPORT_FREEADDRESS_H

#include "Common/Address.h"

namespace acaciacross::testsupport {

/// A loopback address whose TCP port was free a moment ago.
common::Address freeAddress();

} // namespace acaciacross::testsupport

#endif
