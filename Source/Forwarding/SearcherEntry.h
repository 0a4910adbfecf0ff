#ifndef ACACIACROSS_FORWARDING_SEARCHERENTRY_H
#define ACACIACROSS_FORWARDING_SEARCHERENTRY_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::forwarding {

/// Published entry of one searcher.
struct SearcherEntry {
  common::SearcherId Id;
  common::ServiceName Service;
  common::Address Endpoint;
  std::string FailureDomain;
  unsigned Slots = 1;
  /// The searcher stops soon and must get no new work.
  bool IsDraining = false;
  /// Remaining time in which the searcher is slow after its start, as of this
  /// entry.
  std::chrono::milliseconds ColdLeft{0};
  /// Start time of the searcher in Unix milliseconds; 0 when unknown. A
  /// different value means that the searcher was restarted under the same id.
  std::int64_t StartedUnixMs = 0;

  /// Whether both entries are of the same process: not of a restarted searcher
  /// or of one at another address.
  bool isSameRun(const SearcherEntry &Other) const;

  bool operator==(const SearcherEntry &) const = default;
};

} // namespace acaciacross::forwarding

#endif
