#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ADDRESSCACHE_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ADDRESSCACHE_H

#include "Common/Address.h"
#include "Common/RandomSource.h"
#include "Common/Time.h"

#include <optional>
#include <vector>

namespace acaciacross::loadgenerator {

/// Keeps the addresses from the last address response while they are valid.
class AddressCache {
public:
  void store(std::vector<common::Address> NewAddresses,
             common::MonotonicTime ValidUntil);
  /// Discards the addresses, so that new ones are requested before the next
  /// query.
  void expire();

  /// A random valid address; empty when there is none.
  std::optional<common::Address> pick(common::MonotonicTime Now,
                                      common::RandomSource &Random) const;

private:
  std::vector<common::Address> Addresses;
  common::MonotonicTime ValidUntil = common::MonotonicTime::min();
};

} // namespace acaciacross::loadgenerator

#endif
