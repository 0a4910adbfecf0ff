#ifndef ACACIACROSS_DISCOVERY_STOREREADER_H
#define ACACIACROSS_DISCOVERY_STOREREADER_H

#include "Discovery/ReadAge.h"
#include "Discovery/StoreChanges.h"
#include "Discovery/StorePage.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::discovery {

/// Reads the platform's store; every call blocks.
class StoreReader {
public:
  virtual ~StoreReader() = default;

  /// The items after that key; from the start for an empty one.
  virtual StorePage readPage(const std::string &AfterKey, ReadAge Age) = 0;
  /// Waits for at most Wait until something changes after that revision.
  virtual StoreChanges awaitChanges(std::uint64_t AfterRevision,
                                    std::chrono::milliseconds Wait) = 0;
};

} // namespace acaciacross::discovery

#endif
