#include "Benchmarks/Capacity/ReplicaChoiceCase.h"

#include "TestSupport/ServiceViewBuilder.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr std::uint32_t Shards = 160;
constexpr std::uint64_t ChoiceCount = 200'000;

} // namespace

ReplicaChoiceCase::ReplicaChoiceCase(std::uint32_t Count)
    : Searchers(Count), Random(Seed), Selector(this->Random) {}

std::string ReplicaChoiceCase::name() const {
  return "replica_choice." + std::to_string(this->Searchers);
}

std::string ReplicaChoiceCase::unit() const { return "choice"; }

std::uint64_t ReplicaChoiceCase::operations() const { return ChoiceCount; }

void ReplicaChoiceCase::prepare() {
  this->View =
      testsupport::ServiceViewBuilder{Shards, this->Searchers, 2, 2}.build();
  this->Selector.updateView(*this->View);
}

void ReplicaChoiceCase::run() {
  for (std::uint64_t I = 0; I < ChoiceCount; ++I) {
    const auto Position = this->Selector.select(
        *this->View, this->View->Snapshots[0].Shards[I % Shards], {});
    const common::SearcherIndex Chosen =
        this->View->Searchers[Position.value()].Index;
    this->Selector.onAttemptStarted(Chosen);
    this->Selector.onAttemptEnded(Chosen, query::AttemptStatus::Answered);
  }
}

} // namespace acaciacross::benchmarks
