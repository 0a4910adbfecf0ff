#include "Programs/LoadGenerator/AddressCache.h"

namespace acaciacross::loadgenerator {

void AddressCache::store(std::vector<common::Address> NewAddresses,
                         common::MonotonicTime ValidUntil) {
  this->Addresses = std::move(NewAddresses);
  this->ValidUntil = ValidUntil;
}

void AddressCache::expire() { this->Addresses.clear(); }

std::optional<common::Address>
AddressCache::pick(common::MonotonicTime Now,
                   common::RandomSource &Random) const {
  if (this->Addresses.empty() || Now >= this->ValidUntil)
    return std::nullopt;
  return this->Addresses[Random.below(this->Addresses.size())];
}

} // namespace acaciacross::loadgenerator
