#include "Peering/DatagramCodec.h"

#include "Common/SeededRandom.h"
#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"
#include "UnitTests/Peering/MessageSamples.h"

#include <gtest/gtest.h>

namespace acaciacross::peering {

class DatagramCodecTest : public testing::Test {
protected:
  static constexpr int RandomInputs = 10000;

  static bool isRefused(const std::string &Bytes) {
    try {
      decodeDatagram(Bytes);
      return false;
    } catch (const PeerMessageError &) {
      return true;
    }
  }
};

// A field that is lost or swapped in encoding would reach peers as wrong state.
TEST_F(DatagramCodecTest, AckRoundTripKeepsAllFields) {
  const ProbeAckMessage Sent{12, sampleHeartbeat(8, 16)};
  const PeerDatagram Read = decodeDatagram(encodeDatagram(Sent));
  EXPECT_EQ(std::get<ProbeAckMessage>(Read), Sent);
}

// VMs of the release before eras send acknowledgements without one, and drop
// those with one.
TEST_F(DatagramCodecTest, AckTellsAnEraOnlyWhereTheStoreTellsOne) {
  ProbeAckMessage Sent{12, sampleHeartbeat(8, 16)};
  const std::string WithoutEra = encodeDatagram(Sent);
  Sent.Content.Sender.PositionInEffect.Era = 4'000'000'000;
  const std::string Bytes = encodeDatagram(Sent);
  EXPECT_EQ(Bytes.size(), WithoutEra.size() + 4);
  EXPECT_EQ(std::get<ProbeAckMessage>(decodeDatagram(Bytes)), Sent);
  EXPECT_TRUE(isRefused(Bytes + 'x'));
  EXPECT_TRUE(isRefused(Bytes.substr(0, Bytes.size() - 1)));
}

// Probes leave out the fields that only acknowledgements carry.
TEST_F(DatagramCodecTest, ProbeRoundTripOmitsAckOnlyFields) {
  ProbeMessage Sent{12, sampleHeartbeat(8, 16)};
  const PeerDatagram Read = decodeDatagram(encodeDatagram(Sent));
  Sent.Content.Sender.CallerAddress = {};
  Sent.Content.Sender.FailureDomain.clear();
  Sent.Content.Sender.ServiceAnswerAge = {};
  EXPECT_EQ(std::get<ProbeMessage>(Read), Sent);
}

TEST_F(DatagramCodecTest, EvidenceRoundTripKeepsAllFields) {
  EvidenceMessage Sent;
  Sent.Sequence = 7;
  for (std::size_t I = 0; I < membership::MaxRelayedPeers; ++I)
    Sent.Peers.push_back({common::VmId("front-ho-thac-ba-" + std::to_string(I)),
                          common::Incarnation(~std::uint64_t{0} - I),
                          common::Address{"10.1.2.3", 7'400},
                          std::chrono::milliseconds(40 * I),
                          static_cast<unsigned>(I)});
  const std::string Bytes = encodeDatagram(Sent);
  EXPECT_EQ(std::get<EvidenceMessage>(decodeDatagram(Bytes)), Sent);
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_TRUE(isRefused(Bytes.substr(0, Length))) << Length;
  EXPECT_TRUE(isRefused(Bytes + 'x'));
}

// With names of maximum length all entries would need 2 KB; the datagram must
// stay below the path MTU.
TEST_F(DatagramCodecTest, EntriesThatDoNotFitAreLeftOut) {
  const std::string Bytes =
      encodeDatagram(ProbeAckMessage{1, sampleHeartbeat(8, 16, 60)});
  EXPECT_LE(Bytes.size(), MaxDatagramBytes);
  const auto Read = std::get<ProbeAckMessage>(decodeDatagram(Bytes));
  EXPECT_EQ(Read.Content.Updates.size(), 8U);
  EXPECT_LT(Read.Content.Drains.size(), 16U);
  EXPECT_FALSE(Read.Content.Drains.empty());
}

// Peers would drop a message with a name over the limit.
TEST_F(DatagramCodecTest, TooLongNameIsNotEncoded) {
  EXPECT_THROW(encodeDatagram(ProbeMessage{1, sampleHeartbeat(0, 0, 65)}),
               PeerMessageError);
}

// A damaged datagram must not be taken for a valid one.
TEST_F(DatagramCodecTest, EveryTruncationAndAnyTrailingByteIsRefused) {
  const std::string Bytes =
      encodeDatagram(ProbeAckMessage{1, sampleHeartbeat(2, 2)});
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_TRUE(isRefused(Bytes.substr(0, Length))) << Length;
  EXPECT_TRUE(isRefused(Bytes + 'x'));
}

// Fields of another version would be read with the wrong meaning.
TEST_F(DatagramCodecTest, OtherVersionIsRefused) {
  std::string Bytes = encodeDatagram(ProbeMessage{1, sampleHeartbeat(0, 0)});
  Bytes[1] = static_cast<char>(MessageVersion + 1);
  EXPECT_TRUE(isRefused(Bytes));
}

// Datagrams longer than any that a peer encodes must not be decoded.
TEST_F(DatagramCodecTest, DatagramOverTheLimitIsRefused) {
  EXPECT_TRUE(isRefused(std::string(MaxDatagramBytes + 1, '\1')));
}

// A faulty peer must not be able to crash this process.
TEST_F(DatagramCodecTest, RandomBytesAreDecodedOrRefused) {
  common::SeededRandom Random(20261204);
  const std::string Valid =
      encodeDatagram(ProbeAckMessage{1, sampleHeartbeat(4, 8)});
  int Refused = 0;
  for (int Input = 0; Input < RandomInputs; ++Input) {
    std::string Bytes = Valid;
    if (Input % 2 == 0)
      Bytes.assign(Random.below(MaxDatagramBytes + 50), '\0');
    const std::uint64_t Changes = Input % 2 == 0 ? Bytes.size() : 3;
    for (std::uint64_t Change = 0; Change < Changes; ++Change) {
      const std::size_t Position =
          Input % 2 == 0 ? Change : Random.below(Bytes.size());
      Bytes[Position] = static_cast<char>(Random.next());
    }
    Refused += isRefused(Bytes) ? 1 : 0;
  }
  EXPECT_GT(Refused, RandomInputs / 2);
  EXPECT_LT(Refused, RandomInputs);
}

} // namespace acaciacross::peering
