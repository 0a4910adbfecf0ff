#ifndef ACACIACROSS_CONTROL_UPSTREAMEVIDENCE_H
#define ACACIACROSS_CONTROL_UPSTREAMEVIDENCE_H

#include "Upstreams/UpstreamEvidence.h"

namespace acaciacross::control {

// Defined in the lower module, which decides by it.
using upstreams::UpstreamEvidence;

} // namespace acaciacross::control

#endif
