#include "Gateway/PriorityCounter.h"

namespace acaciacross::gateway {

namespace {

// Limits memory: configurations can name any number of priorities over time.
// Priorities beyond this are counted together.
constexpr std::size_t MaxPriorities = 16;

} // namespace

void PriorityCounter::add(int Priority, double Amount) {
  const auto Found = this->ByPriority.find(Priority);
  if (Found != this->ByPriority.end())
    Found->second += Amount;
  else if (this->ByPriority.size() < MaxPriorities)
    this->ByPriority.emplace(Priority, Amount);
  else
    this->Others += Amount;
}

void PriorityCounter::write(std::ostream &Page, const std::string &Name) const {
  Page << "# TYPE " << Name << " counter\n";
  for (const auto &[Priority, Total] : this->ByPriority)
    Page << Name << "{priority=\"" << Priority << "\"} " << Total << '\n';
  if (this->Others > 0.0)
    Page << Name << "{priority=\"other\"} " << this->Others << '\n';
}

} // namespace acaciacross::gateway
