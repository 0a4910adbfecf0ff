#include "Benchmarks/Capacity/ChangeSizeCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"
#include "Peering/TransferCodec.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t MessageCount = 20;
constexpr std::uint64_t Revision = 33'000;

// The removed searcher, the new searcher, and in both snapshots the shard whose
// replicas change.
std::string deltaText() {
  return "remove = [\"" + SampleFleet::searcherId(0).Value + "\"]\n" +
         SampleFleet::searcherText(41'999) +
         SampleFleet::snapshotText(0, 3, 6) +
         SampleFleet::snapshotText(0, 3, 0);
}

} // namespace

ChangeSizeCase::ChangeSizeCase(std::uint32_t Count, bool Delta)
    : Searchers(Count), IsDelta(Delta) {}

std::string ChangeSizeCase::name() const {
  return std::string("change_size.") + (this->IsDelta ? "delta" : "whole") +
         "_of_" + std::to_string(this->Searchers);
}

std::string ChangeSizeCase::unit() const { return "change"; }

std::uint64_t ChangeSizeCase::operations() const { return MessageCount; }

void ChangeSizeCase::prepare() {
  this->Changes = {SampleFleet::service(1'399, 0, this->Searchers, Revision)};
  if (this->IsDelta)
    this->Changes.front().Text = deltaText();
}

void ChangeSizeCase::run() {
  for (std::uint64_t I = 0; I < MessageCount; ++I)
    this->Bytes += peering::encodeChanges(this->Changes).size();
}

std::uint64_t ChangeSizeCase::encodedBytes() const { return this->Bytes; }

} // namespace acaciacross::benchmarks
