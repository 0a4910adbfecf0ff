#ifndef ACACIACROSS_FRONTEND_STATUSPAGE_H
#define ACACIACROSS_FRONTEND_STATUSPAGE_H

#include "Control/ControlView.h"
#include "Frontend/HttpResponse.h"
#include "Metrics/ClassReport.h"

#include <span>

namespace acaciacross::frontend {

/// The status of this VM for operators, as JSON.
class StatusPage {
public:
  static HttpResponse render(const common::VmId &Vm,
                             common::Incarnation Incarnation,
                             const control::ControlView &View,
                             std::span<const metrics::ClassReport> Reports,
                             common::MonotonicTime Now);
};

} // namespace acaciacross::frontend

#endif
