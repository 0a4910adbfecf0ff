#ifndef ACACIACROSS_UPSTREAMS_POLLEDPAGE_H
#define ACACIACROSS_UPSTREAMS_POLLEDPAGE_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Upstreams/HealthPage.h"
#include "Upstreams/LoadPage.h"

#include <variant>

namespace acaciacross::upstreams {

/// What a poll of a searcher's page gave.
struct PolledPage {
  common::SearcherIndex Searcher;
  /// Where it was polled; the searcher may have moved since.
  common::Address Endpoint;
  std::variant<HealthPage, LoadPage> Page;
};

} // namespace acaciacross::upstreams

#endif
