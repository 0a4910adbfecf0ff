#include "Benchmarks/Capacity/DatagramCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"
#include "Peering/DatagramCodec.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t MessageCount = 1'000;

} // namespace

DatagramCase::DatagramCase(bool Ack, std::uint32_t UpdateCount,
                           std::uint32_t DrainCount)
    : IsAck(Ack), Updates(UpdateCount), Drains(DrainCount) {}

std::string DatagramCase::name() const {
  return std::string(this->IsAck ? "ack" : "probe") + ".updates_" +
         std::to_string(this->Updates) + "_drains_" +
         std::to_string(this->Drains);
}

std::string DatagramCase::unit() const { return "message"; }

std::uint64_t DatagramCase::operations() const { return MessageCount; }

void DatagramCase::prepare() {
  membership::Heartbeat Content;
  Content.Sender = SampleFleet::member(6'599);
  for (std::uint32_t I = 0; I < this->Updates; ++I) {
    const membership::MemberStatus Peer = SampleFleet::member(6'000 + I);
    Content.Updates.push_back(
        {Peer.Vm, Peer.Incarnation, Peer.State, Peer.CallerAddress});
  }
  for (std::uint32_t I = 0; I < this->Drains; ++I)
    Content.Drains.push_back({SampleFleet::searcherId(41'000 + I),
                              std::chrono::milliseconds(1'500)});
  if (this->IsAck)
    this->Message = peering::ProbeAckMessage{1ULL << 62U, Content};
  else
    this->Message = peering::ProbeMessage{1ULL << 62U, Content};
}

void DatagramCase::run() {
  for (std::uint64_t I = 0; I < MessageCount; ++I) {
    const std::string Encoded = peering::encodeDatagram(this->Message);
    peering::decodeDatagram(Encoded);
    this->Bytes += Encoded.size();
  }
}

std::uint64_t DatagramCase::encodedBytes() const { return this->Bytes; }

} // namespace acaciacross::benchmarks
