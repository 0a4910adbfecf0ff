#ifndef ACACIACROSS_CONTROL_UPSTREAMEVIDENCE_H
#define ACACIACROSS_CONTROL_UPSTREAMEVIDENCE_H

#include "Upstreams/UpstreamEvidence.h"

namespace acaciacross::control {

// Defined in the Upstreams module, which evaluates it.
using upstreams::UpstreamEvidence;

} // namespace acaciacross::control

#endif
