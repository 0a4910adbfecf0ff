#ifndef ACACIACROSS_TRAFFIC_ADMISSIONBOUNDS_H
#define ACACIACROSS_TRAFFIC_ADMISSIONBOUNDS_H

#include "Control/ControlView.h"
#include "Limits/AdaptiveLimitSettings.h"

namespace acaciacross::traffic {

/// Bounds of a service's adaptive limit by the targets of its classes. What the
/// targets do not determine is taken from Base.
limits::AdaptiveLimitSettings
admissionBounds(const common::ServiceName &Service,
                const control::ControlView &View,
                limits::AdaptiveLimitSettings Base);

} // namespace acaciacross::traffic

#endif
