#include "Traffic/ClassTable.h"

#include <algorithm>
#include <utility>

namespace acaciacross::traffic {

namespace {

// Restarting a query takes one attempt per shard from the budget.
constexpr std::uint32_t RestartsInBudget = 2;
constexpr std::uint32_t MinBudgetCapAttempts = 10;

std::uint32_t maxBudgetFor(const control::ControlView &View,
                           const common::ServiceName &Name) {
  std::size_t Shards = 0;
  const auto Service = View.Services.find(Name);
  if (Service != View.Services.end())
    for (const query::SnapshotView &Snapshot : Service->second->Snapshots)
      Shards = std::max(Shards, Snapshot.Shards.size());
  return std::max(MinBudgetCapAttempts,
                  static_cast<std::uint32_t>(Shards) * RestartsInBudget);
}

} // namespace

ClassTable::ClassTable(common::ServiceName Service)
    : Service(std::move(Service)) {}

void ClassTable::update(const control::ControlView &View) {
  for (auto &[Name, Class] : this->Classes)
    Class->IsCurrent = false;
  const std::uint32_t MaxBudget = maxBudgetFor(View, this->Service);
  for (const auto &[Name, Definition] : View.Classes) {
    if (Definition.Service != this->Service)
      continue;
    std::unique_ptr<ClassState> &Class = this->Classes[Name];
    if (Class)
      Class->reconfigure(Definition, MaxBudget);
    else
      Class = std::make_unique<ClassState>(Definition, MaxBudget);
  }
}

std::vector<common::ClassName>
ClassTable::dropUnused(const std::set<const ClassState *> &InUse) {
  std::vector<common::ClassName> Dropped;
  std::erase_if(this->Classes, [&](const auto &Entry) {
    const bool IsNeeded =
        Entry.second->IsCurrent || InUse.contains(Entry.second.get());
    if (!IsNeeded)
      Dropped.push_back(Entry.first);
    return !IsNeeded;
  });
  return Dropped;
}

std::size_t ClassTable::unusedCount() const {
  return this->Classes.size() - this->current().size();
}

ClassState *ClassTable::find(const common::ClassName &Name) {
  const auto Found = this->Classes.find(Name);
  const bool IsCurrent =
      Found != this->Classes.end() && Found->second->IsCurrent;
  return IsCurrent ? Found->second.get() : nullptr;
}

std::vector<const ClassState *> ClassTable::current() const {
  std::vector<const ClassState *> Current;
  for (const auto &[Name, Class] : this->Classes)
    if (Class->IsCurrent)
      Current.push_back(Class.get());
  return Current;
}

std::vector<metrics::ClassReport> ClassTable::reports() const {
  std::vector<metrics::ClassReport> Reports;
  for (const ClassState *Class : this->current()) {
    metrics::ClassReport Report = Class->Metrics.report();
    Report.Service = this->Service;
    Report.ExtraAttemptsLeft = Class->Budget.balance();
    Report.Running = Class->Running;
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

} // namespace acaciacross::traffic
