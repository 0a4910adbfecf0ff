#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ADDRESSBOOK_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ADDRESSBOOK_H

#include "Common/Address.h"
#include "Common/RandomSource.h"
#include "Common/Time.h"

#include <optional>
#include <vector>

namespace acaciacross::loadgenerator {

/// The addresses that the system gave, for as long as they are valid.
class AddressBook {
public:
  void store(std::vector<common::Address> Answer, common::MonotonicTime Until);
  /// Asks for new addresses before the next request.
  void expire();

  /// Empty when there is no valid address.
  std::optional<common::Address> pick(common::MonotonicTime Now,
                                      common::RandomSource &Random) const;

private:
  std::vector<common::Address> Addresses;
  common::MonotonicTime ValidUntil = common::MonotonicTime::min();
};

} // namespace acaciacross::loadgenerator

#endif
