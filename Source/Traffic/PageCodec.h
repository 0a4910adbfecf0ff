#ifndef ACACIACROSS_TRAFFIC_PAGECODEC_H
#define ACACIACROSS_TRAFFIC_PAGECODEC_H

#include "Upstreams/HealthPage.h"
#include "Upstreams/LoadPage.h"

#include <optional>
#include <string_view>

namespace acaciacross::traffic {

/// Empty when the text is no valid page. Members that are not known are passed
/// over.
std::optional<upstreams::HealthPage> decodeHealthPage(std::string_view Text);
std::optional<upstreams::LoadPage> decodeLoadPage(std::string_view Text);

} // namespace acaciacross::traffic

#endif
