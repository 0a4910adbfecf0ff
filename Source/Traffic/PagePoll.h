#ifndef ACACIACROSS_TRAFFIC_PAGEPOLL_H
#define ACACIACROSS_TRAFFIC_PAGEPOLL_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Traffic/PageKind.h"

namespace acaciacross::traffic {

/// One request for a page of a searcher.
struct PagePoll {
  common::SearcherIndex Searcher;
  common::Address Endpoint;
  PageKind Kind = PageKind::Health;
};

} // namespace acaciacross::traffic

#endif
