#include "Tickets/TicketTable.h"

#include <gtest/gtest.h>

namespace acaciacross::tickets {

using std::chrono::milliseconds;

class TicketTableTest : public testing::Test {
protected:
  static IssuerIdentity makeIdentity(std::uint64_t Incarnation) {
    return {common::VmId("entry ~1"), common::Address{"127.0.0.1", 7101},
            common::Incarnation(Incarnation), Start, 99};
  }

  static std::shared_ptr<const query::Outcome> makeAnswer() {
    query::CompleteAnswer Answer;
    Answer.Parts.push_back({common::ShardId(1), "booked"});
    return std::make_shared<query::Outcome>(Answer);
  }

  Ticket issue() {
    return this->Issuer.issue(common::ClassName("lots"), Start);
  }

  static constexpr common::MonotonicTime Start{std::chrono::hours(5)};
  TicketIssuer Issuer{makeIdentity(1), 10, milliseconds(1000)};
  TicketTable Table{Issuer, {2, 1000, milliseconds(500)}};
};

TEST_F(TicketTableTest, ExecutingTicketIsReportedAsExecuting) {
  const Ticket Used = this->issue();
  EXPECT_EQ(this->Table.present(Used, Start).State, TicketState::Accepted);
  EXPECT_EQ(this->Table.present(Used, Start).State, TicketState::Executing);
  // A pause may outlast the retention; the execution still counts.
  EXPECT_EQ(this->Table.present(Used, Start + milliseconds(9000)).State,
            TicketState::Executing);
}

TEST_F(TicketTableTest, FinishedTicketGivesTheStoredOutcome) {
  const Ticket Used = this->issue();
  this->Table.present(Used, Start);
  const auto Answer = makeAnswer();
  this->Table.finish(Used, Answer);
  const auto Lookup = this->Table.present(Used, Start + milliseconds(1400));
  EXPECT_EQ(Lookup.State, TicketState::Finished);
  EXPECT_EQ(Lookup.Stored, Answer);
}

TEST_F(TicketTableTest, TicketOfAnotherIncarnationIsOwnedElsewhere) {
  TicketIssuer Other(makeIdentity(2), 10, milliseconds(1000));
  const Ticket Foreign = Other.issue(common::ClassName("lots"), Start);
  EXPECT_EQ(this->Table.present(Foreign, Start).State,
            TicketState::OwnedElsewhere);
}

TEST_F(TicketTableTest, ExpiredTicketWithoutRecordIsNotAccepted) {
  const Ticket Unused = this->issue();
  EXPECT_EQ(this->Table.present(Unused, Start + milliseconds(1000)).State,
            TicketState::Expired);
}

// Once the record is gone, only the expiry keeps the ticket from a second run.
TEST_F(TicketTableTest, TicketAfterItsRetentionIsExpired) {
  const Ticket Used = this->issue();
  this->Table.present(Used, Start);
  this->Table.finish(Used, makeAnswer());
  EXPECT_EQ(this->Table.present(Used, Start + milliseconds(1500)).State,
            TicketState::Expired);
  EXPECT_EQ(this->Table.size(), 0U);
}

TEST_F(TicketTableTest, FullTableAcceptsNoTicketAndKeepsItsRecords) {
  const Ticket First = this->issue();
  this->Table.present(First, Start);
  this->Table.present(this->issue(), Start);
  const Ticket Third = this->issue();
  EXPECT_EQ(this->Table.present(Third, Start).State, TicketState::TableFull);
  EXPECT_EQ(this->Table.present(First, Start).State, TicketState::Executing);
}

// Nothing ran, and callers retry with the ticket that they have.
TEST_F(TicketTableTest, RefusedTicketMayBeUsedAgain) {
  const Ticket Used = this->issue();
  this->Table.present(Used, Start);
  this->Table.finish(Used, std::make_shared<query::Outcome>(query::Refusal{}));
  EXPECT_EQ(this->Table.present(Used, Start).State, TicketState::Accepted);
}

// A later expiry would outlive the record of the ticket's use.
TEST_F(TicketTableTest, AlteredTicketIsNotAccepted) {
  Ticket Altered = this->issue();
  Altered.Expiry += milliseconds(60'000);
  EXPECT_EQ(this->Table.present(Altered, Start).State, TicketState::Altered);
  Altered = this->issue();
  Altered.Sequence += 1;
  EXPECT_EQ(this->Table.present(Altered, Start).State, TicketState::Altered);
}

TEST_F(TicketTableTest, ParseOfItsTextGivesTheSameTicket) {
  const Ticket Issued = this->issue();
  EXPECT_EQ(Ticket::parse(Issued.toString()), Issued);
}

TEST_F(TicketTableTest, ParseOfAnotherSpellingIsRefused) {
  const std::string Text = this->issue().toString();
  for (const std::string &Wrong :
       {Text + " ", Text.substr(1), "t2" + Text.substr(2), std::string("t1"),
        std::string("t1~01") + Text.substr(4), Text + std::string(2000, 'x'),
        Text + "%4"})
    EXPECT_EQ(Ticket::parse(Wrong), std::nullopt) << Wrong;
}

} // namespace acaciacross::tickets
