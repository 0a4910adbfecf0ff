#include "Programs/LoadGenerator/AddressBook.h"

namespace acaciacross::loadgenerator {

void AddressBook::store(std::vector<common::Address> Answer,
                        common::MonotonicTime Until) {
  this->Addresses = std::move(Answer);
  this->ValidUntil = Until;
}

void AddressBook::expire() { this->Addresses.clear(); }

std::optional<common::Address>
AddressBook::pick(common::MonotonicTime Now,
                  common::RandomSource &Random) const {
  if (this->Addresses.empty() || Now >= this->ValidUntil)
    return std::nullopt;
  return this->Addresses[Random.below(this->Addresses.size())];
}

} // namespace acaciacross::loadgenerator
