#ifndef ACACIACROSS_QUERY_SEARCHERVIEW_H
#define ACACIACROSS_QUERY_SEARCHERVIEW_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Query/SearcherAvailability.h"

#include <cstdint>
#include <string>

namespace acaciacross::query {

/// What the choice of a replica needs to know of a searcher.
struct SearcherView {
  common::SearcherIndex Index;
  common::SearcherId Id;
  common::Address Endpoint;
  bool SameZone = true;
  SearcherAvailability Availability = SearcherAvailability::Usable;

  std::uint32_t Slots = 1;
  /// Connections that this VM may hold to the searcher.
  std::uint32_t ConnectionQuota = 1;

  /// Part of a full share of work, in (0, 1]; below 1 during slow start.
  double Share = 1.0;
};

} // namespace acaciacross::query

#endif
