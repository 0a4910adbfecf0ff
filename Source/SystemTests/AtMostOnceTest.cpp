#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <csignal>
#include <future>
#include <thread>

namespace acaciacross::systemtests {

class AtMostOnceTest : public SystemTest {
protected:
  void setWeavingFault(const std::string &Name, const std::string &Value) {
    for (SearcherHandle *Searcher :
         this->ActiveDeployment->replicas("weaving", 0))
      Searcher->setFault(Name, Value);
  }

  std::size_t executionCount(const std::string &Id) const {
    return this->ActiveDeployment->record(Id).size();
  }

  static void expectMayHaveRun(const QueryAnswer &Answer) {
    EXPECT_EQ(Answer.Outcome, "failed") << Answer.Reply.Body;
    EXPECT_EQ(Answer.RunState, "may_have_run") << Answer.Reply.Body;
  }

  void expectOwnedByFirst(const QueryAnswer &Answer) {
    expectMayHaveRun(Answer);
    EXPECT_EQ(Answer.Result, "TicketOwnedElsewhere");
    EXPECT_EQ(Answer.TicketOwner, this->vm(0).CallerAddress);
  }
};

// Guards against a booking that is sent again after a lost reply: by the entry
// VM, by libcurl, or because the caller repeats it.
TEST_F(AtMostOnceTest, ConnectionResetAfterTheRunIsFailedAndRunsOnce) {
  this->deploy();
  // Opens connections that the later requests reuse.
  ASSERT_EQ(this->vm(0)
                .query("before", "booking", this->vm(0).ticket("booking"))
                .Outcome,
            "complete");
  this->setWeavingFault("reset", "1");
  constexpr int Bookings = 10;
  for (int I = 0; I < Bookings; ++I) {
    const std::string Id = "reset-" + std::to_string(I);
    const std::string Ticket = this->vm(0).ticket("booking");
    ASSERT_NE(Ticket, "");
    expectMayHaveRun(this->vm(0).query(Id, "booking", Ticket));
    EXPECT_EQ(this->executionCount(Id), 1U);
    expectMayHaveRun(this->vm(0).query(Id, "booking", Ticket));
    this->expectOwnedByFirst(this->vm(1).query(Id, "booking", Ticket));
    EXPECT_EQ(this->executionCount(Id), 1U);
    this->setWeavingFault("reset", I % 2 == 0 ? "0" : "1");
    expectMayHaveRun(this->vm(0).query(Id, "booking", Ticket));
    this->expectOwnedByFirst(this->vm(2).query(Id, "booking", Ticket));
    EXPECT_EQ(this->executionCount(Id), 1U);
    this->setWeavingFault("reset", "1");
  }
}

// Guards against a second execution by a frozen owner that resumes after
// another VM was asked to run the same booking.
TEST_F(AtMostOnceTest, OwnerFrozenPastTheDeadlineRunsTheBookingAtMostOnce) {
  this->deploy();
  constexpr std::chrono::milliseconds Deadline{600};
  this->setWeavingFault("slow_factor", "20");
  for (int I = 0; I < 4; ++I) {
    const std::string Id = "frozen-" + std::to_string(I);
    const std::string Ticket = this->vm(0).ticket("booking");
    ASSERT_NE(Ticket, "");
    const bool IsFrozenBeforeQuery = I % 2 == 0;
    if (IsFrozenBeforeQuery)
      this->vm(0).Process->signal(SIGSTOP);
    auto PendingAnswer = std::async(std::launch::async, [&] {
      return this->vm(0).query(Id, "booking", Ticket, Deadline);
    });
    if (!IsFrozenBeforeQuery) {
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
      this->vm(0).Process->signal(SIGSTOP);
    }
    std::this_thread::sleep_for(Deadline);
    this->expectOwnedByFirst(
        this->vm(1).query(Id, "booking", Ticket, Deadline));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    this->vm(0).Process->signal(SIGCONT);
    this->expectOwnedByFirst(
        this->vm(2).query(Id, "booking", Ticket, Deadline));
    const QueryAnswer Answer = PendingAnswer.get();
    const QueryAnswer RepeatedAnswer = this->vm(0).query(Id, "booking", Ticket);
    EXPECT_NE(RepeatedAnswer.Outcome, "") << RepeatedAnswer.Reply.Error;
    EXPECT_LE(this->executionCount(Id), 1U);
    if (Answer.Outcome == "refused" && RepeatedAnswer.Outcome == "refused") {
      EXPECT_EQ(this->executionCount(Id), 0U) << Answer.Reply.Body;
    }
    if (Answer.Outcome == "complete") {
      EXPECT_EQ(this->executionCount(Id), 1U);
    }
  }
}

// Guards against a restarted VM that accepts tickets of its earlier incarnation
// as its own.
TEST_F(AtMostOnceTest, OwnerKilledAndRestartedDoesNotRunOldTickets) {
  this->deploy();
  const std::string Used = this->vm(0).ticket("booking");
  const std::string Unused = this->vm(0).ticket("booking");
  ASSERT_NE(Unused, "");
  ASSERT_EQ(this->vm(0).query("used", "booking", Used).Outcome, "complete");
  this->vm(0).Process->kill();
  this->expectOwnedByFirst(this->vm(1).query("unused", "booking", Unused));
  this->vm(0).start();
  ASSERT_TRUE(waitUntil(std::chrono::seconds(10),
                        [this] { return this->vm(0).fleet().size() == 3; }));
  for (EntryVm &Vm : this->ActiveDeployment->vms()) {
    expectMayHaveRun(Vm.query("used", "booking", Used));
    expectMayHaveRun(Vm.query("unused", "booking", Unused));
  }
  EXPECT_EQ(this->executionCount("used"), 1U);
  EXPECT_EQ(this->executionCount("unused"), 0U);
}

} // namespace acaciacross::systemtests
