#ifndef ACACIACROSS_TRAFFIC_DRAINHEADER_H
#define ACACIACROSS_TRAFFIC_DRAINHEADER_H

#include <string_view>

namespace acaciacross::traffic {

/// Whether the line is "X-Draining: 1".
bool isDrainHeader(std::string_view Line);

} // namespace acaciacross::traffic

#endif
