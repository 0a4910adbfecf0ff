#include "Benchmarks/Capacity/ServiceViewCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint32_t SearchersPerService = 480;

} // namespace

ServiceViewCase::ServiceViewCase(std::uint32_t Count)
    : Searchers(Count),
      Tracker(std::make_unique<upstreams::FailureEjectionPolicy>()),
      Builder("lake-1", this->Table, this->Tracker) {}

std::string ServiceViewCase::name() const {
  return "service_view." + std::to_string(this->Searchers);
}

std::string ServiceViewCase::unit() const { return "searcher"; }

std::uint64_t ServiceViewCase::operations() const { return this->Searchers; }

void ServiceViewCase::prepare() {
  for (const auto &Change :
       SampleFleet::documents(this->Searchers, SearchersPerService))
    this->Store.apply(Change);
  this->Builder.setDocuments(this->Store);
  // Indexes are assigned here, so that the run measures only the views.
  for (std::uint32_t I = 0; I < this->Searchers; ++I)
    this->Table.assign(SampleFleet::searcherId(I));
}

void ServiceViewCase::run() {
  for (const auto &[Name, Document] : this->Store.services())
    this->Views.push_back(this->Builder.build(Name));
}

} // namespace acaciacross::benchmarks
