#ifndef ACACIACROSS_UPSTREAMS_DRAINNOTICE_H
#define ACACIACROSS_UPSTREAMS_DRAINNOTICE_H

#include "Membership/DrainNotice.h"

namespace acaciacross::upstreams {

using membership::DrainNotice;

} // namespace acaciacross::upstreams

#endif
