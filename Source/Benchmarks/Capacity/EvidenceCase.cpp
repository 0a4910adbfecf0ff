#include "Benchmarks/Capacity/EvidenceCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint32_t BatchCount = 200;
constexpr std::uint32_t BatchSize = 160;
constexpr std::uint32_t SearchersPerService = 480;
// Coprime to the numbers of searchers, so that the results cover all of them.
constexpr std::uint32_t Stride = 7'919;

} // namespace

EvidenceCase::EvidenceCase(std::uint32_t Count) : Searchers(Count) {}

std::string EvidenceCase::name() const {
  return "evidence." + std::to_string(this->Searchers);
}

std::string EvidenceCase::unit() const { return "attempt"; }

std::uint64_t EvidenceCase::operations() const {
  return std::uint64_t{BatchCount} * BatchSize;
}

void EvidenceCase::prepare() {
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
  for (const auto &Change :
       SampleFleet::documents(this->Searchers, SearchersPerService))
    this->State->applyConfiguration(Change, "service");
  std::uint32_t Index = 0;
  for (std::uint32_t I = 0; I < BatchCount; ++I) {
    std::vector<control::UpstreamEvidence> Batch;
    for (std::uint32_t J = 0; J < BatchSize; ++J) {
      Index = (Index + Stride) % this->Searchers;
      Batch.push_back(
          {common::SearcherIndex(Index), query::AttemptStatus::Answered,
           this->Clock.monotonicNow(), std::chrono::milliseconds(5), false});
    }
    this->Batches.push_back(std::move(Batch));
  }
}

void EvidenceCase::run() {
  for (const std::vector<control::UpstreamEvidence> &Batch : this->Batches)
    this->State->applyEvidence(Batch);
}

} // namespace acaciacross::benchmarks
