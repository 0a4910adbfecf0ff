#include "Benchmarks/Selection/SelectionRun.h"

#include "Benchmarks/Selection/AllocationCounter.h"
#include "TestSupport/ServiceViewBuilder.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Seed = 20261204;
// A query of the two-year size goes to this many searchers.
constexpr std::uint32_t Shards = 160;
// Shares no factor with the number of shards, so that the ejected searchers are
// spread over all shards: ejection never takes a whole shard.
constexpr std::size_t EjectedOneIn = 21;

} // namespace

SelectionRun::SelectionRun(std::uint32_t Searchers)
    : Random(Seed), Selector(this->Random),
      View(testsupport::ServiceViewBuilder{Shards, Searchers, 2, 2}.build()),
      Running(Searchers) {
  for (std::size_t I = 0; I < this->View->Searchers.size(); I += EjectedOneIn)
    this->View->Searchers[I].Availability =
        query::SearcherAvailability::Ejected;
  this->Selector.updateView(*this->View);
}

void SelectionRun::choose(std::uint64_t Choices) {
  const auto Begin = std::chrono::steady_clock::now();
  const std::uint64_t Before = this->Chosen;
  while (this->Chosen < Before + Choices)
    this->chooseOne();
  this->Time = (std::chrono::steady_clock::now() - Begin) /
               static_cast<std::int64_t>(Choices);
}

std::uint64_t SelectionRun::allocations() const { return this->Allocations; }

std::chrono::nanoseconds SelectionRun::meanTime() const { return this->Time; }

void SelectionRun::chooseOne() {
  const query::ShardView &Shard =
      this->View->Snapshots[0].Shards[this->Chosen % Shards];
  const std::uint64_t Before = AllocationCounter::count();
  const auto Position = this->Selector.select(*this->View, Shard, {});
  this->Allocations += AllocationCounter::count() - Before;

  // The attempt of a whole ring ago ends, so that as many run as there are
  // searchers, which is half of the slots.
  auto &Place = this->Running[this->Chosen % this->Running.size()];
  if (Place)
    this->Selector.onAttemptEnded(*Place, query::AttemptStatus::Answered);
  Place.reset();
  if (Position) {
    Place = this->View->Searchers[*Position].Index;
    this->Selector.onAttemptStarted(*Place);
  }
  ++this->Chosen;
}

} // namespace acaciacross::benchmarks
