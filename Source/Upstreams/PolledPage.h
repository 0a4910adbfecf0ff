#ifndef ACACIACROSS_UPSTREAMS_POLLEDPAGE_H
#define ACACIACROSS_UPSTREAMS_POLLEDPAGE_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Upstreams/HealthPage.h"
#include "Upstreams/LoadPage.h"

#include <variant>

namespace acaciacross::upstreams {

/// A health or load page together with the searcher it was polled from.
struct PolledPage {
  common::SearcherIndex Searcher;
  /// Address that was polled; the searcher may have moved since.
  common::Address Endpoint;
  std::variant<HealthPage, LoadPage> Page;
};

} // namespace acaciacross::upstreams

#endif
