#ifndef ACACIACROSS_FORWARDING_SEARCHERENTRY_H
#define ACACIACROSS_FORWARDING_SEARCHERENTRY_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::forwarding {

/// What the platform publishes of one searcher.
struct SearcherEntry {
  common::SearcherId Id;
  common::ServiceName Service;
  common::Address Where;
  std::string FailureDomain;
  unsigned Slots = 1;
  /// It leaves soon and must get no new work.
  bool IsDraining = false;
  /// How long it stays slow after its start, as of the entry.
  std::chrono::milliseconds ColdLeft{0};
  /// Wall-clock start of the searcher, in Unix milliseconds; 0 when unknown.
  /// A change means that the searcher started again under the same id.
  std::int64_t BornMs = 0;

  bool operator==(const SearcherEntry &) const = default;
};

} // namespace acaciacross::forwarding

#endif
