#include "Benchmarks/Capacity/RevisionListCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"
#include "Peering/TransferCodec.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t ListCount = 20;
constexpr std::uint32_t SearchersPerService = 3;

} // namespace

RevisionListCase::RevisionListCase(std::uint32_t Count) : Keys(Count) {}

std::string RevisionListCase::name() const {
  return "revision_list." + std::to_string(this->Keys);
}

std::string RevisionListCase::unit() const { return "list"; }

std::uint64_t RevisionListCase::operations() const { return ListCount; }

void RevisionListCase::prepare() {
  for (const auto &Change : SampleFleet::documents(
           (this->Keys - 1) * SearchersPerService, SearchersPerService))
    this->Store.apply(Change);
}

void RevisionListCase::run() {
  for (std::uint64_t I = 0; I < ListCount; ++I) {
    peering::ConfigurationPullMessage Pull;
    Pull.KnownRevisions = this->Store.revisions();
    this->Bytes += peering::encodePull(Pull).size();
  }
}

std::uint64_t RevisionListCase::encodedBytes() const { return this->Bytes; }

} // namespace acaciacross::benchmarks
