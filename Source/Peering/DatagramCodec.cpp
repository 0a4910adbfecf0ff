#include "Peering/DatagramCodec.h"

#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"
#include "Peering/WireReader.h"
#include "Peering/WireWriter.h"

#include <algorithm>
#include <limits>

namespace acaciacross::peering {

namespace {

using membership::DrainNotice;
using membership::Heartbeat;
using membership::MemberStatus;
using membership::MemberUpdate;
using membership::PeerEvidence;
using membership::ServingState;

std::size_t encodedSize(const MemberUpdate &Update) {
  return 1 + Update.Vm.Value.size() + 8 + 1 + 4 + 2;
}

std::size_t encodedSize(const DrainNotice &Notice) {
  return 1 + Notice.Searcher.Value.size() + 4;
}

std::size_t encodedSize(const PeerEvidence &Peer) {
  return 1 + Peer.Vm.Value.size() + 8 + 4 + 2 + 2 + 2;
}

/// Number of leading entries that fit; subtracts their bytes from
/// RemainingBytes.
template <typename Entry>
std::size_t countFitting(const std::vector<Entry> &Entries, std::size_t Max,
                         std::size_t &RemainingBytes) {
  std::size_t Count = 0;
  while (Count < std::min(Max, Entries.size()) &&
         encodedSize(Entries[Count]) <= RemainingBytes) {
    RemainingBytes -= encodedSize(Entries[Count]);
    ++Count;
  }
  return Count;
}

std::uint16_t clampToUint16(unsigned Value) {
  return static_cast<std::uint16_t>(
      std::min<unsigned>(Value, std::numeric_limits<std::uint16_t>::max()));
}

void writeStatus(WireWriter &Out, const MemberStatus &Status, bool IsAck) {
  Out.name(Status.Vm.Value, MaxNameBytes);
  Out.number(Status.Incarnation.Value);
  Out.number(static_cast<std::uint8_t>(Status.State));
  Out.number(Status.PositionInEffect.Revision);
  Out.number(Status.ConfigurationDigest);
  if (!IsAck)
    return;
  Out.address(Status.CallerAddress);
  Out.name(Status.FailureDomain, MaxNameBytes);
  const auto Age = std::clamp(Status.ServiceAnswerAge,
                              std::chrono::milliseconds(0), MaxAnswerAge);
  Out.number(static_cast<std::uint16_t>(Age.count()));
  Out.number(clampToUint16(Status.CapacityMilliCores));
  Out.number(clampToUint16(Status.BusyPerMille));
}

void writeUpdate(WireWriter &Out, const MemberUpdate &Update) {
  Out.name(Update.Vm.Value, MaxNameBytes);
  Out.number(Update.Incarnation.Value);
  Out.number(static_cast<std::uint8_t>(Update.State));
  Out.address(Update.PeerAddress);
}

void writeNotice(WireWriter &Out, const DrainNotice &Notice) {
  const auto Age =
      std::clamp(Notice.Age, std::chrono::milliseconds(0), MaxDrainAge);
  Out.name(Notice.Searcher.Value, MaxNameBytes);
  Out.number(static_cast<std::uint32_t>(Age.count()));
}

std::string encode(MessageKind Kind, std::uint64_t Sequence,
                   const Heartbeat &Content) {
  WireWriter Out(Kind);
  Out.number(Sequence);
  writeStatus(Out, Content.Sender, Kind == MessageKind::ProbeAck);
  // A peer acts on the position in acknowledgements only.
  const std::uint64_t Era =
      Kind == MessageKind::ProbeAck ? Content.Sender.PositionInEffect.Era : 0;
  constexpr std::size_t CountBytes = 2;
  std::size_t RemainingBytes =
      MaxDatagramBytes - CountBytes - WireWriter::eraSize(Era) - Out.size();
  const std::size_t Updates = countFitting(
      Content.Updates, membership::MaxMemberUpdates, RemainingBytes);
  const std::size_t Notices =
      countFitting(Content.Drains, membership::MaxDrainNotices, RemainingBytes);
  Out.number(static_cast<std::uint8_t>(Updates));
  for (std::size_t Index = 0; Index < Updates; ++Index)
    writeUpdate(Out, Content.Updates[Index]);
  Out.number(static_cast<std::uint8_t>(Notices));
  for (std::size_t Index = 0; Index < Notices; ++Index)
    writeNotice(Out, Content.Drains[Index]);
  Out.era(Era);
  return Out.bytes();
}

std::string encode(const EvidenceMessage &Message) {
  WireWriter Out(MessageKind::PeerEvidence);
  Out.number(Message.Sequence);
  std::size_t RemainingBytes = MaxDatagramBytes - 1 - Out.size();
  const std::size_t Count =
      countFitting(Message.Peers, membership::MaxRelayedPeers, RemainingBytes);
  Out.number(static_cast<std::uint8_t>(Count));
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const PeerEvidence &Peer = Message.Peers[Index];
    Out.name(Peer.Vm.Value, MaxNameBytes);
    Out.number(Peer.Incarnation.Value);
    Out.address(Peer.PeerAddress);
    Out.number(clampToUint16(static_cast<unsigned>(Peer.Age.count())));
    Out.number(clampToUint16(Peer.BusyPerMille));
  }
  return Out.bytes();
}

EvidenceMessage readEvidence(WireReader &In, std::uint64_t Sequence) {
  EvidenceMessage Message;
  Message.Sequence = Sequence;
  const std::size_t Count = In.smallCount(membership::MaxRelayedPeers);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    PeerEvidence Peer;
    Peer.Vm = common::VmId(In.name(MaxNameBytes));
    Peer.Incarnation = common::Incarnation(In.number<std::uint64_t>());
    Peer.PeerAddress = In.address();
    Peer.Age = std::chrono::milliseconds(In.number<std::uint16_t>());
    Peer.BusyPerMille = In.number<std::uint16_t>();
    Message.Peers.push_back(std::move(Peer));
  }
  In.finish();
  return Message;
}

ServingState readState(WireReader &In) {
  const auto Number = In.number<std::uint8_t>();
  if (Number > static_cast<std::uint8_t>(ServingState::Leaving))
    throw PeerMessageError("unknown serving state " + std::to_string(Number));
  return static_cast<ServingState>(Number);
}

MemberStatus readStatus(WireReader &In) {
  MemberStatus Status;
  Status.Vm = common::VmId(In.name(MaxNameBytes));
  Status.Incarnation = common::Incarnation(In.number<std::uint64_t>());
  Status.State = readState(In);
  Status.PositionInEffect.Revision = In.number<std::uint64_t>();
  Status.ConfigurationDigest = In.number<std::uint64_t>();
  if (In.kind() != MessageKind::ProbeAck)
    return Status;
  Status.CallerAddress = In.address();
  Status.FailureDomain = In.name(MaxNameBytes);
  Status.ServiceAnswerAge =
      std::chrono::milliseconds(In.number<std::uint16_t>());
  if (Status.ServiceAnswerAge > MaxAnswerAge)
    throw PeerMessageError("an age of an answer over the limit");
  Status.CapacityMilliCores = In.number<std::uint16_t>();
  Status.BusyPerMille = In.number<std::uint16_t>();
  return Status;
}

MemberUpdate readUpdate(WireReader &In) {
  MemberUpdate Update;
  Update.Vm = common::VmId(In.name(MaxNameBytes));
  Update.Incarnation = common::Incarnation(In.number<std::uint64_t>());
  Update.State = readState(In);
  Update.PeerAddress = In.address();
  return Update;
}

DrainNotice readNotice(WireReader &In) {
  DrainNotice Notice;
  Notice.Searcher = common::SearcherId(In.name(MaxNameBytes));
  Notice.Age = std::chrono::milliseconds(In.number<std::uint32_t>());
  if (Notice.Age > MaxDrainAge)
    throw PeerMessageError("a drain notice that is too old");
  return Notice;
}

Heartbeat readHeartbeat(WireReader &In) {
  Heartbeat Content;
  Content.Sender = readStatus(In);
  const std::size_t Updates = In.smallCount(membership::MaxMemberUpdates);
  for (std::size_t Index = 0; Index < Updates; ++Index)
    Content.Updates.push_back(readUpdate(In));
  const std::size_t Notices = In.smallCount(membership::MaxDrainNotices);
  for (std::size_t Index = 0; Index < Notices; ++Index)
    Content.Drains.push_back(readNotice(In));
  if (In.kind() == MessageKind::ProbeAck)
    Content.Sender.PositionInEffect.Era = In.era();
  In.finish();
  return Content;
}

} // namespace

std::string encodeDatagram(const PeerDatagram &Message) {
  if (const auto *Probe = std::get_if<ProbeMessage>(&Message))
    return encode(MessageKind::Probe, Probe->Sequence, Probe->Content);
  if (const auto *Evidence = std::get_if<EvidenceMessage>(&Message))
    return encode(*Evidence);
  const auto &Ack = std::get<ProbeAckMessage>(Message);
  return encode(MessageKind::ProbeAck, Ack.Sequence, Ack.Content);
}

PeerDatagram decodeDatagram(std::string_view Bytes) try {
  if (Bytes.size() > MaxDatagramBytes)
    throw PeerMessageError("a datagram over the limit");
  WireReader In(Bytes);
  const auto Sequence = In.number<std::uint64_t>();
  if (In.kind() == MessageKind::Probe)
    return ProbeMessage{Sequence, readHeartbeat(In)};
  if (In.kind() == MessageKind::ProbeAck)
    return ProbeAckMessage{Sequence, readHeartbeat(In)};
  if (In.kind() == MessageKind::PeerEvidence)
    return readEvidence(In, Sequence);
  throw PeerMessageError("a kind that is not sent in datagrams");
} catch (const cereal::Exception &Error) {
  throw PeerMessageError(Error.what());
}

} // namespace acaciacross::peering
