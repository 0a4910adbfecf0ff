#ifndef ACACIACROSS_TRAFFIC_ADMISSIONBOUNDS_H
#define ACACIACROSS_TRAFFIC_ADMISSIONBOUNDS_H

#include "Control/ControlView.h"
#include "Limits/AdaptiveLimitSettings.h"

namespace acaciacross::traffic {

/// Derives the bounds of a service's adaptive limit from the targets of its
/// classes. Bounds that the targets do not determine are taken from Defaults.
limits::AdaptiveLimitSettings
admissionBounds(const common::ServiceName &Service,
                const control::ControlView &View,
                limits::AdaptiveLimitSettings Defaults);

} // namespace acaciacross::traffic

#endif
