#include "SystemTests/SystemTest.h"

#include <future>
#include <map>

namespace acaciacross::systemtests {

class RefusalSeriesTest : public SystemTest {
protected:
  using AnswersById = std::map<std::string, QueryAnswer>;

  void setFault(const std::string &Name) {
    for (SearcherHandle &Searcher : this->ActiveDeployment->searchers()) {
      Searcher.setFault("clear", "1");
      Searcher.setFault(Name, Name == "slow_factor" ? "40" : "1");
    }
  }

  // Deadlines range from far too short to sufficient; two of three requests are
  // bookings.
  AnswersById sendQueries(const std::string &Prefix) {
    AnswersById All;
    for (int I = 0; I < RequestsPerCaller; ++I) {
      const EntryVm &Vm = this->vm(I % 3);
      const bool IsBooking = I % 3 != 0;
      const std::string Id = Prefix + std::to_string(I);
      const std::string Ticket = IsBooking ? Vm.ticket("booking") : "";
      All[Id] = Vm.query(Id, IsBooking ? "booking" : "plots", Ticket,
                         std::chrono::milliseconds(20 + 60 * (I % 4)));
    }
    return All;
  }

  void runPhase(const std::string &Fault, AnswersById &All) {
    this->setFault(Fault);
    std::vector<std::future<AnswersById>> Callers;
    Callers.reserve(CallersPerPhase);
    for (int Caller = 0; Caller < CallersPerPhase; ++Caller)
      Callers.push_back(std::async(std::launch::async, [&, Caller] {
        return this->sendQueries(Fault + '-' + std::to_string(Caller) + '-');
      }));
    for (auto &Caller : Callers)
      All.merge(Caller.get());
  }

  static constexpr int CallersPerPhase = 6;
  static constexpr int RequestsPerCaller = 6;
};

// Guards against the answer "not run" for a request that is executed, before or
// after the answer, and against a second execution of a booking.
TEST_F(RefusalSeriesTest, SeriesWithFaultsHasNoExecutionOfARefusedRequest) {
  this->deploy();
  AnswersById All;
  for (const char *Fault : {"clear", "reset", "hang", "shed", "slow_factor",
                            "drain_shed", "wrong_attempt"})
    this->runPhase(Fault, All);

  std::map<std::string, std::size_t> Executions;
  for (const RecordedExecution &Execution : this->ActiveDeployment->record())
    ++Executions[Execution.RequestId];
  std::map<std::string, int> Outcomes;
  for (const auto &[Id, Answer] : All) {
    ++Outcomes[Answer.Outcome];
    ASSERT_NE(Answer.Outcome, "") << Id << ' ' << Answer.Reply.Error;
    if (Answer.Outcome == "refused") {
      EXPECT_EQ(Answer.RunState, "not_run") << Id;
      EXPECT_EQ(Executions[Id], 0U) << Id << ' ' << Answer.Reply.Body;
    }
    if (Answer.Outcome == "complete") {
      EXPECT_GE(Executions[Id], 1U) << Id;
    }
  }
  for (const RecordedExecution &Execution : this->ActiveDeployment->record())
    if (Execution.Searcher.starts_with("weaving")) {
      EXPECT_EQ(Executions[Execution.RequestId], 1U) << Execution.RequestId;
    }
  for (const auto &[Outcome, Count] : Outcomes)
    this->RecordProperty(Outcome, Count);
  // The checks above need at least one answer of each outcome.
  EXPECT_GT(Outcomes["complete"], 0);
  EXPECT_GT(Outcomes["refused"], 0);
  EXPECT_GT(Outcomes["failed"], 0);
}

} // namespace acaciacross::systemtests
