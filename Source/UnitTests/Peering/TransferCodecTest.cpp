#include "Peering/TransferCodec.h"

#include "Common/SeededRandom.h"
#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"

#include <gtest/gtest.h>

namespace acaciacross::peering {

using configuration::ConfigurationChange;

class TransferCodecTest : public testing::Test {};

// A lost revision would make the peer send wrong changes.
TEST_F(TransferCodecTest, PullRoundTripKeepsAllFields) {
  ConfigurationPullMessage Sent;
  Sent.AfterRevision = common::Revision(2);
  Sent.KnownRevisions["classes"] = common::Revision(3);
  Sent.KnownRevisions["service/crew-dispatch"] = common::Revision(9);
  EXPECT_EQ(decodePull(encodePull(Sent)), Sent);
}

// Without its era a revision would be compared with those of another one.
TEST_F(TransferCodecTest, EraIsKeptAndAbsentWhereTheStoreTellsNone) {
  ConfigurationPullMessage Pull;
  Pull.AfterRevision = common::Revision(2);
  const std::string WithoutEra = encodePull(Pull);
  Pull.Era = 3;
  EXPECT_EQ(encodePull(Pull).size(), WithoutEra.size() + 4);
  EXPECT_EQ(decodePull(encodePull(Pull)), Pull);
  EXPECT_EQ(decodePull(WithoutEra).Era, 0U);
  const std::vector<ConfigurationChange> Changes = {
      {"classes", common::Revision(3), "a"}};
  const std::string Bytes = encodeChanges(Changes, common::Revision(5), {}, 3);
  EXPECT_EQ(decodeChanges(Bytes).Era, 3U);
  EXPECT_EQ(decodeChanges(encodeChanges(Changes)).Era, 0U);
  EXPECT_THROW(decodeChanges(Bytes + 'x'), PeerMessageError);
  EXPECT_THROW(decodeChanges(Bytes.substr(0, Bytes.size() - 1)),
               PeerMessageError);
}

// An altered key, revision or text would take effect on the receiver.
TEST_F(TransferCodecTest, ChangesRoundTripKeepsAllFields) {
  const auto Read = decodeChanges(
      encodeChanges({{"classes", common::Revision(3), "[budget]\n"}}));
  ASSERT_EQ(Read.Changes.size(), 1U);
  EXPECT_EQ(Read.Changes[0].Key, "classes");
  EXPECT_EQ(Read.Changes[0].Revision, common::Revision(3));
  EXPECT_EQ(Read.Changes[0].Text, "[budget]\n");
  EXPECT_FALSE(Read.HasMore);
}

// A VM that is far behind receives the changes in several limited transfers.
TEST_F(TransferCodecTest, ChangesOverTheLimitAreTruncatedAndMarked) {
  const std::string Text(MaxDocumentBytes, 't');
  std::vector<ConfigurationChange> Changes;
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    Changes.push_back(
        {"service/" + std::to_string(Number), common::Revision(Number), Text});
  const std::string Bytes = encodeChanges(Changes);
  EXPECT_LE(Bytes.size(), MaxChangesBytes);
  const auto Read = decodeChanges(Bytes);
  EXPECT_EQ(Read.Changes.size(), 3U);
  EXPECT_TRUE(Read.HasMore);
}

// Peers would drop a message with a document over the limit.
TEST_F(TransferCodecTest, DocumentOverTheLimitIsNotEncoded) {
  EXPECT_THROW(encodeChanges({{"classes", common::Revision(1),
                               std::string(MaxDocumentBytes + 1, 't')}}),
               PeerMessageError);
}

// Keys missing from a message count as removed only when the message holds all
// keys; a truncated list must not remove the rest.
TEST_F(TransferCodecTest, ListThatDoesNotFitIsNotComplete) {
  const auto Complete = decodeChanges(encodeChanges(
      {{"classes", common::Revision(3), "a"}}, common::Revision(5)));
  EXPECT_EQ(Complete.CompleteAt, common::Revision(5));
  std::vector<configuration::ConfigurationChange> Large;
  for (std::uint64_t Key = 0; Key < 8; ++Key)
    Large.push_back({"key-" + std::to_string(Key), common::Revision(Key),
                     std::string(MaxDocumentBytes, 'x')});
  const auto Truncated =
      decodeChanges(encodeChanges(Large, common::Revision(9)));
  EXPECT_TRUE(Truncated.HasMore);
  EXPECT_FALSE(Truncated.CompleteAt.has_value());
}

// A receiver that took the revision of the sender for known would never ask for
// the changes that did not fit.
TEST_F(TransferCodecTest,
       TruncatedChangesCoverOnlyWhatPrecedesTheFirstLeftOut) {
  const auto Whole = decodeChanges(encodeChanges(
      {{"classes", common::Revision(3), "a"}}, {}, common::Revision(5)));
  EXPECT_EQ(Whole.ChangesUpTo, common::Revision(5));
  std::vector<configuration::ConfigurationChange> Large;
  for (std::uint64_t Key = 0; Key < 8; ++Key)
    Large.push_back({"key-" + std::to_string(Key), common::Revision(10 + Key),
                     std::string(MaxDocumentBytes, 'x')});
  const auto Truncated =
      decodeChanges(encodeChanges(Large, {}, common::Revision(20)));
  ASSERT_EQ(Truncated.Changes.size(), 3U);
  EXPECT_EQ(Truncated.ChangesUpTo, common::Revision(12));
}

// A wrong length field must not lead to an allocation of that size.
TEST_F(TransferCodecTest, CorruptedMessagesAreRefused) {
  common::SeededRandom Random(20261204);
  const std::string Valid = encodeChanges(
      {{"classes", common::Revision(3), "text"},
       {"service/crew-dispatch", common::Revision(9), "more text"}});
  int Refused = 0;
  for (int Input = 0; Input < 10000; ++Input) {
    std::string Bytes = Valid;
    for (int Change = 0; Change < 3; ++Change)
      Bytes[Random.below(Bytes.size())] = static_cast<char>(Random.next());
    try {
      decodeChanges(Bytes);
      decodePull(Bytes);
    } catch (const PeerMessageError &) {
      ++Refused;
    }
  }
  EXPECT_EQ(Refused, 10000);
}

} // namespace acaciacross::peering
