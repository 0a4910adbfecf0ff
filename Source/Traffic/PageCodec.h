#ifndef ACACIACROSS_TRAFFIC_PAGECODEC_H
#define ACACIACROSS_TRAFFIC_PAGECODEC_H

#include "Upstreams/HealthPage.h"
#include "Upstreams/LoadPage.h"

#include <optional>
#include <string_view>

namespace acaciacross::traffic {

/// Decode a page of a searcher. Empty if the text is not a valid page; unknown
/// members are ignored.
std::optional<upstreams::HealthPage> decodeHealthPage(std::string_view Text);
std::optional<upstreams::LoadPage> decodeLoadPage(std::string_view Text);

} // namespace acaciacross::traffic

#endif
