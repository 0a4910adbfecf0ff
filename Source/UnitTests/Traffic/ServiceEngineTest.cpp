#include "Traffic/ServiceEngine.h"

#include "RecordingReplySink.h"
#include "TestSupport/ManualClock.h"
#include "TestSupport/RecordingAttemptSender.h"
#include "ViewBuilder.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using common::ResultCode;
using std::chrono::milliseconds;

class ServiceEngineTest : public testing::Test {
protected:
  ServiceEngineTest() { this->Engine.updateView(*this->View); }

  EngineSettings makeSettings() {
    EngineSettings Settings;
    Settings.Service = common::ServiceName("lots");
    Settings.Identity = {common::VmId("entry-1"),
                         {"127.0.0.1", 7101},
                         common::Incarnation(7),
                         this->Time.monotonicNow(),
                         99};
    Settings.Admission.Max = 2;
    return Settings;
  }

  std::shared_ptr<RecordingReplySink>
  send(const char *Class, std::optional<tickets::Ticket> Ticket = {}) {
    auto Sink = std::make_shared<RecordingReplySink>();
    const auto Now = this->Time.monotonicNow();
    this->Engine.accept({common::RequestId("r"), common::ClassName(Class), "b",
                         std::move(Ticket), Now, Now + milliseconds(1000)},
                        Sink);
    return Sink;
  }

  /// Raises the adaptive limit, which starts at one query, by finished queries.
  void raiseLimit() {
    for (int I = 0; I < 50; ++I) {
      this->send("read");
      this->end(this->Sender.Started.size() - 1,
                query::AttemptStatus::Answered);
    }
    this->Sender.Started.clear();
  }

  tickets::Ticket issue() {
    return *this->Engine.issueTicket(common::ClassName("book")).Ticket;
  }

  void end(std::size_t Number, query::AttemptStatus Status) {
    const query::AttemptSpec &Spec = this->Sender.Started.at(Number);
    EndedAttempt Ended;
    Ended.Searcher = Spec.Searcher;
    Ended.Result.Attempt = Spec.Id;
    Ended.Result.Status = Status;
    if (Status == query::AttemptStatus::Answered)
      Ended.Result.Reply =
          query::ShardReply{Spec.Id, Spec.Snapshot, Spec.Shard, {0, 9}, "x"};
    this->Engine.onAttemptsEnded({Ended});
  }

  testsupport::ManualClock Time;
  testsupport::RecordingAttemptSender Sender;
  std::shared_ptr<control::ControlView> View = makeView({"127.0.0.1", 1});
  ServiceEngine Engine{makeSettings(), this->Sender, this->Time};
};

// Concurrent requests must not get each other's answer.
TEST_F(ServiceEngineTest, InterleavedAnswersReachTheirOwnRequests) {
  this->raiseLimit();
  const auto First = this->send("read");
  const auto Second = this->send("read");
  this->end(1, query::AttemptStatus::Answered);
  EXPECT_EQ(First->count(), 0U);
  EXPECT_EQ(Second->count(), 1U);
  this->end(0, query::AttemptStatus::Answered);
  EXPECT_EQ(First->count(), 1U);
  EXPECT_EQ(Second->count(), 1U);
}

TEST_F(ServiceEngineTest, NonRepeatableRequestWithoutTicketIsRefused) {
  EXPECT_EQ(this->send("book")->refusal(), ResultCode::TicketRequired);
  EXPECT_TRUE(this->Sender.Started.empty());
}

TEST_F(ServiceEngineTest, RepeatedTicketGetsTheStoredOutcomeWithoutRunning) {
  const tickets::Ticket Issued = this->issue();
  const auto First = this->send("book", Issued);
  EXPECT_EQ(this->send("book", Issued)->failure(),
            ResultCode::TicketInProgress);
  this->end(0, query::AttemptStatus::Answered);
  EXPECT_EQ(this->send("book", Issued)->first().Result, First->first().Result);
  EXPECT_EQ(this->Sender.Started.size(), 1U);
}

// A searcher may have executed a booking although its answer was lost, so the
// request must not be repeated.
TEST_F(ServiceEngineTest, LostBookingFailsAndIsNeverSentAgain) {
  const tickets::Ticket Issued = this->issue();
  EXPECT_EQ(
      [&] {
        const auto Sink = this->send("book", Issued);
        this->end(0, query::AttemptStatus::Lost);
        return Sink->failure();
      }(),
      ResultCode::AttemptLost);
  EXPECT_EQ(this->send("book", Issued)->failure(), ResultCode::AttemptLost);
  EXPECT_EQ(this->Sender.Started.size(), 1U);
}

// The class may become repeatable between the issue and the use of the ticket.
TEST_F(ServiceEngineTest, TicketOfAClassNowRepeatableStillRunsOnce) {
  const tickets::Ticket Issued = this->issue();
  this->View->Classes[common::ClassName("book")].Repeatable = true;
  this->View->Classes[common::ClassName("book")].ExtraLoadTarget = 1.0;
  this->Engine.updateView(*this->View);
  const auto Sink = this->send("book", Issued);
  EXPECT_FALSE(this->Sender.Started.at(0).Repeatable);
  this->end(0, query::AttemptStatus::Lost);
  EXPECT_EQ(Sink->failure(), ResultCode::AttemptLost);
}

// The record of used tickets is checked first: a reply that the request was not
// run would be wrong for a ticket that was executed.
TEST_F(ServiceEngineTest, UsedTicketOfARemovedClassGetsTheStoredOutcome) {
  const tickets::Ticket Issued = this->issue();
  const auto First = this->send("book", Issued);
  this->end(0, query::AttemptStatus::Answered);
  this->View->Classes.clear();
  this->Engine.updateView(*this->View);
  EXPECT_EQ(this->send("book", Issued)->first().Result, First->first().Result);
}

// A request that expired while waiting has not run, so its caller may try again
// with the same ticket.
TEST_F(ServiceEngineTest, RequestThatWaitsTooLongIsRefusedAndKeepsItsTicket) {
  this->send("read");
  const tickets::Ticket Issued = this->issue();
  const auto Waiting = this->send("book", Issued);
  EXPECT_EQ(this->Engine.openQueryCount(), 2U);
  this->Time.advance(milliseconds(500));
  EXPECT_LE(*this->Engine.nextTimer(), this->Time.monotonicNow());
  this->Engine.onTimers();
  EXPECT_EQ(Waiting->refusal(), ResultCode::Overloaded);
  this->end(0, query::AttemptStatus::Answered);
  this->send("book", Issued);
  EXPECT_EQ(this->Sender.Started.size(), 2U);
}

TEST_F(ServiceEngineTest, WaitingRequestRunsWhenAnotherEnds) {
  this->send("read");
  const auto Waiting = this->send("read");
  EXPECT_EQ(this->Sender.Started.size(), 1U);
  this->end(0, query::AttemptStatus::Answered);
  this->end(1, query::AttemptStatus::Answered);
  EXPECT_EQ(Waiting->count(), 1U);
}

// An attempt at a hanging searcher never ends, so only the deadline reveals the
// fault.
TEST_F(ServiceEngineTest, DeadlineEndsTheQueryAndReportsTheCancelledAttempt) {
  const auto Sink = this->send("read");
  this->Time.advance(milliseconds(1000));
  EXPECT_LE(*this->Engine.nextTimer(), this->Time.monotonicNow());
  this->Engine.onTimers();
  EXPECT_EQ(Sink->failure(), ResultCode::DeadlinePassed);
  const auto Evidence = this->Engine.takeEvidence();
  ASSERT_EQ(Evidence.size(), 1U);
  EXPECT_EQ(Evidence[0].Status, query::AttemptStatus::Cancelled);
  EXPECT_EQ(this->Sender.Cancelled.size(), 1U);
  EXPECT_EQ(this->Engine.nextTimer(), std::nullopt);
}

TEST_F(ServiceEngineTest, AbortAnswersEveryRequest) {
  const auto First = this->send("read");
  const auto Second = this->send("read");
  this->Engine.abortAll();
  EXPECT_EQ(First->failure(), ResultCode::Interrupted);
  EXPECT_EQ(Second->refusal(), ResultCode::NotServing);
  EXPECT_EQ(this->Engine.openQueryCount(), 0U);
}

// Guards against unbounded memory when operators keep renaming classes. Running
// queries refer to the classes that they were admitted with.
TEST_F(ServiceEngineTest, RemovedClassesAreDroppedUnlessTheyAreInUse) {
  const auto Running = this->send("read");
  configuration::ClassDefinition Renamed = this->View->Classes.begin()->second;
  for (int I = 0; I < 1000; ++I) {
    Renamed.Name = common::ClassName("class-" + std::to_string(I));
    this->View->Classes = {{Renamed.Name, Renamed}};
    this->Engine.updateView(*this->View);
    ASSERT_LE(this->Engine.classCount(), ClassTable::MaxUnused + 2);
  }
  this->end(0, query::AttemptStatus::Answered);
  EXPECT_TRUE(
      std::holds_alternative<query::CompleteAnswer>(*Running->first().Result));
}

} // namespace acaciacross::traffic
