#include "SystemTests/CallerCounts.h"

namespace acaciacross::systemtests {

void CallerCounts::add(const CallerCounts &Other) {
  for (const auto &[Outcome, Count] : Other.Outcomes)
    this->Outcomes[Outcome] += Count;
  for (const auto &[Address, Count] : Other.QueriesByAddress)
    this->QueriesByAddress[Address] += Count;
  this->Errors.insert(this->Errors.end(), Other.Errors.begin(),
                      Other.Errors.end());
}

std::uint64_t CallerCounts::queries() const {
  std::uint64_t Count = 0;
  for (const auto &[Address, AddressCount] : this->QueriesByAddress)
    Count += AddressCount;
  return Count;
}

std::string CallerCounts::text() const {
  std::string Text;
  for (const auto &[Outcome, Count] : this->Outcomes)
    Text += Outcome + ' ' + std::to_string(Count) + ' ';
  for (const std::string &Error : this->Errors)
    Text += '\n' + Error;
  return Text;
}

} // namespace acaciacross::systemtests
