#include "SystemTests/CallerTally.h"

namespace acaciacross::systemtests {

void CallerTally::add(const CallerTally &Other) {
  for (const auto &[Outcome, Count] : Other.Outcomes)
    this->Outcomes[Outcome] += Count;
  for (const auto &[Address, Count] : Other.Sent)
    this->Sent[Address] += Count;
  this->Problems.insert(this->Problems.end(), Other.Problems.begin(),
                        Other.Problems.end());
}

std::uint64_t CallerTally::queries() const {
  std::uint64_t Count = 0;
  for (const auto &[Address, Each] : this->Sent)
    Count += Each;
  return Count;
}

std::string CallerTally::text() const {
  std::string Text;
  for (const auto &[Outcome, Count] : this->Outcomes)
    Text += Outcome + ' ' + std::to_string(Count) + ' ';
  for (const std::string &Problem : this->Problems)
    Text += '\n' + Problem;
  return Text;
}

} // namespace acaciacross::systemtests
