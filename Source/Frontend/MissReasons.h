#ifndef ACACIACROSS_FRONTEND_MISSREASONS_H
#define ACACIACROSS_FRONTEND_MISSREASONS_H

#include "Configuration/ClassDefinition.h"
#include "Frontend/MissReason.h"
#include "Metrics/ClassReport.h"
#include "Query/ServiceView.h"

#include <vector>

namespace acaciacross::frontend {

/// Reasons why the class misses its targets; empty when they are met. Service
/// is null when the service of the class is unknown.
std::vector<MissReason> missReasons(const configuration::ClassDefinition &Class,
                                    const metrics::ClassReport &Report,
                                    const query::ServiceView *Service);

} // namespace acaciacross::frontend

#endif
