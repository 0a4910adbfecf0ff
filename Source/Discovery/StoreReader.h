#ifndef ACACIACROSS_DISCOVERY_STOREREADER_H
#define ACACIACROSS_DISCOVERY_STOREREADER_H

#include "Discovery/ReadConsistency.h"
#include "Discovery/StoreChanges.h"
#include "Discovery/StorePage.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::discovery {

/// Reads the platform's store. Every call blocks.
class StoreReader {
public:
  virtual ~StoreReader() = default;

  /// Returns the items after AfterKey, or the first items if it is empty.
  virtual StorePage readPage(const std::string &AfterKey,
                             ReadConsistency Consistency) = 0;
  /// Waits at most Wait for changes after the given revision.
  virtual StoreChanges awaitChanges(std::uint64_t AfterRevision,
                                    std::chrono::milliseconds Wait) = 0;
};

} // namespace acaciacross::discovery

#endif
