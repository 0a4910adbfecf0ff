#ifndef ACACIACROSS_DISCOVERY_SEARCHERREPORT_H
#define ACACIACROSS_DISCOVERY_SEARCHERREPORT_H

#include "Discovery/PublishedItem.h"

#include <cstdint>

namespace acaciacross::discovery {

/// What orders the entries that one searcher writes of itself.
struct SearcherReport {
  /// Start time of the searcher in Unix milliseconds; 0 when unknown.
  std::int64_t StartedUnixMs = 0;
  /// Number of the entry since that start.
  std::int64_t Sequence = 0;
  bool IsDraining = false;

  /// Item: the decoded entry of a searcher.
  static SearcherReport of(const PublishedItem &Item);
};

} // namespace acaciacross::discovery

#endif
