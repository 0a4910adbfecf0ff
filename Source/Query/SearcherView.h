#ifndef ACACIACROSS_QUERY_SEARCHERVIEW_H
#define ACACIACROSS_QUERY_SEARCHERVIEW_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Query/SearcherAvailability.h"

#include <cstdint>
#include <string>

namespace acaciacross::query {

/// State of a searcher that the choice of a replica depends on.
struct SearcherView {
  common::SearcherIndex Index;
  common::SearcherId Id;
  common::Address Endpoint;
  bool SameZone = true;
  SearcherAvailability Availability = SearcherAvailability::Usable;

  /// Requests that the searcher runs at a time.
  std::uint32_t Slots = 1;
  /// Connections that this VM may have open to the searcher.
  std::uint32_t ConnectionQuota = 1;

  /// Fraction of the usual load that the searcher should get, in (0, 1]; below
  /// 1 during slow start.
  double SlowStartWeight = 1.0;
};

} // namespace acaciacross::query

#endif
