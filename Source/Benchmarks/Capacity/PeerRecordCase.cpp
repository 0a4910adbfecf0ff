#include "Benchmarks/Capacity/PeerRecordCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

PeerRecordCase::PeerRecordCase(std::uint32_t Count)
    : Peers(Count), Fleet(SampleFleet::settings().Vm) {}

std::string PeerRecordCase::name() const {
  return "peer_record." + std::to_string(this->Peers);
}

std::string PeerRecordCase::unit() const { return "peer"; }

std::uint64_t PeerRecordCase::operations() const { return this->Peers; }

void PeerRecordCase::prepare() {
  for (std::uint32_t I = 0; I < this->Peers; ++I)
    this->Statuses.push_back(SampleFleet::member(I));
}

void PeerRecordCase::run() {
  for (const membership::MemberStatus &Status : this->Statuses)
    this->Fleet.applyAck(Status, Status.CallerAddress,
                         this->Clock.monotonicNow());
}

} // namespace acaciacross::benchmarks
