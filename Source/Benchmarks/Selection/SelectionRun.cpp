#include "Benchmarks/Selection/SelectionRun.h"

#include "Benchmarks/Selection/AllocationCounter.h"
#include "TestSupport/ServiceViewBuilder.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Seed = 20261204;
// Shards of one query at the size expected in two years.
constexpr std::uint32_t Shards = 160;
// Coprime to the number of shards, which spreads the ejected searchers over all
// shards, so that no shard loses all replicas.
constexpr std::size_t EjectionStride = 21;

} // namespace

SelectionRun::SelectionRun(std::uint32_t Searchers)
    : Random(Seed), Selector(this->Random),
      View(testsupport::ServiceViewBuilder{Shards, Searchers, 2, 2}.build()),
      RunningAttempts(Searchers) {
  for (std::size_t I = 0; I < this->View->Searchers.size(); I += EjectionStride)
    this->View->Searchers[I].Availability =
        query::SearcherAvailability::Ejected;
  this->Selector.updateView(*this->View);
}

void SelectionRun::choose(std::uint64_t Choices) {
  const auto Begin = std::chrono::steady_clock::now();
  const std::uint64_t CountBefore = this->ChoiceCount;
  while (this->ChoiceCount < CountBefore + Choices)
    this->chooseOne();
  this->MeanTime = (std::chrono::steady_clock::now() - Begin) /
                   static_cast<std::int64_t>(Choices);
}

std::uint64_t SelectionRun::allocations() const { return this->Allocations; }

std::chrono::nanoseconds SelectionRun::meanTime() const {
  return this->MeanTime;
}

void SelectionRun::chooseOne() {
  const query::ShardView &Shard =
      this->View->Snapshots[0].Shards[this->ChoiceCount % Shards];
  const std::uint64_t CountBefore = AllocationCounter::count();
  const auto Position = this->Selector.select(*this->View, Shard, {});
  this->Allocations += AllocationCounter::count() - CountBefore;

  // Ends the oldest attempt of the ring, so that as many attempts run as there
  // are searchers, which is half of the slots.
  auto &RingEntry =
      this->RunningAttempts[this->ChoiceCount % this->RunningAttempts.size()];
  if (RingEntry)
    this->Selector.onAttemptEnded(*RingEntry, query::AttemptStatus::Answered);
  RingEntry.reset();
  if (Position) {
    RingEntry = this->View->Searchers[*Position].Index;
    this->Selector.onAttemptStarted(*RingEntry);
  }
  ++this->ChoiceCount;
}

} // namespace acaciacross::benchmarks
