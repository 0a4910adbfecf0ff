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
    Answer.ShardAnswers.push_back({common::ShardId(1), "booked"});
    return std::make_shared<query::Outcome>(Answer);
  }

  Ticket issue() {
    return this->Issuer.issue(common::ClassName("lots"), Start);
  }

  static constexpr common::MonotonicTime Start{std::chrono::hours(5)};
  TicketIssuer Issuer{makeIdentity(1), 10, milliseconds(1000)};
  TicketTable Table{Issuer, {2, 1000, milliseconds(500)}};
};

// A ticket that is presented again during its execution must not run twice.
TEST_F(TicketTableTest, ExecutingTicketIsReportedAsExecuting) {
  const Ticket Used = this->issue();
  EXPECT_EQ(this->Table.claim(Used, Start).State, TicketState::Accepted);
  EXPECT_EQ(this->Table.claim(Used, Start).State, TicketState::Executing);
  // A pause may last longer than the retention; the ticket is still executing.
  EXPECT_EQ(this->Table.claim(Used, Start + milliseconds(9000)).State,
            TicketState::Executing);
}

// A caller that lost the reply gets the same outcome and causes no second run.
TEST_F(TicketTableTest, FinishedTicketReturnsTheStoredOutcome) {
  const Ticket Used = this->issue();
  this->Table.claim(Used, Start);
  const auto Answer = makeAnswer();
  this->Table.finish(Used, Answer);
  const auto Lookup = this->Table.claim(Used, Start + milliseconds(1400));
  EXPECT_EQ(Lookup.State, TicketState::Finished);
  EXPECT_EQ(Lookup.StoredOutcome, Answer);
}

// A restarted process has no record of tickets of its earlier incarnation and
// must not run them.
TEST_F(TicketTableTest, TicketOfAnotherIncarnationIsOwnedElsewhere) {
  TicketIssuer Other(makeIdentity(2), 10, milliseconds(1000));
  const Ticket Foreign = Other.issue(common::ClassName("lots"), Start);
  EXPECT_EQ(this->Table.claim(Foreign, Start).State,
            TicketState::OwnedElsewhere);
}

// The record of a used ticket may have been removed after its expiry, so an
// expired ticket without a record must not run.
TEST_F(TicketTableTest, ExpiredTicketWithoutRecordIsNotAccepted) {
  const Ticket Unused = this->issue();
  EXPECT_EQ(this->Table.claim(Unused, Start + milliseconds(1000)).State,
            TicketState::Expired);
}

// Once the record is removed, only the expiry prevents a second run.
TEST_F(TicketTableTest, TicketAfterItsRetentionIsExpired) {
  const Ticket Used = this->issue();
  this->Table.claim(Used, Start);
  this->Table.finish(Used, makeAnswer());
  EXPECT_EQ(this->Table.claim(Used, Start + milliseconds(1500)).State,
            TicketState::Expired);
  EXPECT_EQ(this->Table.size(), 0U);
}

// A full table must not evict a record, because its ticket could then run
// twice.
TEST_F(TicketTableTest, FullTableAcceptsNoTicketAndKeepsItsRecords) {
  const Ticket First = this->issue();
  this->Table.claim(First, Start);
  this->Table.claim(this->issue(), Start);
  const Ticket Third = this->issue();
  EXPECT_EQ(this->Table.claim(Third, Start).State, TicketState::TableFull);
  EXPECT_EQ(this->Table.claim(First, Start).State, TicketState::Executing);
}

// After a refusal nothing has run, and callers retry with the same ticket.
TEST_F(TicketTableTest, RefusedTicketMayBeUsedAgain) {
  const Ticket Used = this->issue();
  this->Table.claim(Used, Start);
  this->Table.finish(Used, std::make_shared<query::Outcome>(query::Refusal{}));
  EXPECT_EQ(this->Table.claim(Used, Start).State, TicketState::Accepted);
}

// A ticket with a later expiry than issued would outlive the record of its use.
TEST_F(TicketTableTest, AlteredTicketIsNotAccepted) {
  Ticket Altered = this->issue();
  Altered.Expiry += milliseconds(60'000);
  EXPECT_EQ(this->Table.claim(Altered, Start).State, TicketState::Altered);
  Altered = this->issue();
  Altered.Sequence += 1;
  EXPECT_EQ(this->Table.claim(Altered, Start).State, TicketState::Altered);
}

// Callers send tickets back as text; a lost field would make them invalid.
TEST_F(TicketTableTest, ParsingItsTextReturnsTheSameTicket) {
  const Ticket Issued = this->issue();
  EXPECT_EQ(Ticket::parse(Issued.toString()), Issued);
}

// Texts that toString never returns must not be taken for a valid ticket.
TEST_F(TicketTableTest, ParsingAnotherSpellingFails) {
  const std::string Text = this->issue().toString();
  for (const std::string &Wrong :
       {Text + " ", Text.substr(1), "t2" + Text.substr(2), std::string("t1"),
        std::string("t1~01") + Text.substr(4), Text + std::string(2000, 'x'),
        Text + "%4"})
    EXPECT_EQ(Ticket::parse(Wrong), std::nullopt) << Wrong;
}

} // namespace acaciacross::tickets
