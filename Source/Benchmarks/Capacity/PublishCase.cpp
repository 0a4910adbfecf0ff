#include "Benchmarks/Capacity/PublishCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t ViewCount = 100;

} // namespace

PublishCase::PublishCase(std::uint32_t SearcherCount, std::uint32_t ServiceSize,
                         std::uint32_t PeerCount)
    : Searchers(SearcherCount), SearchersPerService(ServiceSize),
      Peers(PeerCount) {}

std::string PublishCase::name() const {
  return "publish." + std::to_string(this->Searchers) + "_by_" +
         std::to_string(this->SearchersPerService) + "_peers_" +
         std::to_string(this->Peers);
}

std::string PublishCase::unit() const { return "view"; }

std::uint64_t PublishCase::operations() const { return ViewCount; }

void PublishCase::prepare() {
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
  for (const auto &Change :
       SampleFleet::documents(this->Searchers, this->SearchersPerService))
    this->State->applyConfiguration(Change, "service");
  std::vector<routing::AddressCandidate> Serving;
  for (std::uint32_t I = 0; I < this->Peers; ++I) {
    const membership::MemberStatus Peer = SampleFleet::member(I);
    Serving.push_back({Peer.Vm, Peer.CallerAddress, Peer.FailureDomain,
                       this->Clock.monotonicNow()});
  }
  this->State->setPeers(std::move(Serving));
}

void PublishCase::run() {
  for (std::uint64_t I = 0; I < ViewCount; ++I)
    this->State->buildView();
}

} // namespace acaciacross::benchmarks
