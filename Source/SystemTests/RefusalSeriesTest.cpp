#include "SystemTests/SystemTest.h"

#include <future>
#include <map>

namespace acaciacross::systemtests {

class RefusalSeriesTest : public SystemTest {
protected:
  using Answers = std::map<std::string, QueryAnswer>;

  void setFault(const std::string &Name) {
    for (SearcherHandle &Each : this->Running->searchers()) {
      Each.setFault("clear", "1");
      Each.setFault(Name, Name == "slow_factor" ? "40" : "1");
    }
  }

  // Deadlines from far too short to sufficient, two bookings to each query.
  Answers callAll(const std::string &Prefix) {
    Answers All;
    for (int I = 0; I < RequestsPerCaller; ++I) {
      const EntryVm &Vm = this->vm(I % 3);
      const bool Booking = I % 3 != 0;
      const std::string Id = Prefix + std::to_string(I);
      const std::string Ticket = Booking ? Vm.ticket("booking") : "";
      All[Id] = Vm.query(Id, Booking ? "booking" : "plots", Ticket,
                         std::chrono::milliseconds(20 + 60 * (I % 4)));
    }
    return All;
  }

  void runPhase(const std::string &Fault, Answers &All) {
    this->setFault(Fault);
    std::vector<std::future<Answers>> Callers;
    Callers.reserve(CallersPerPhase);
    for (int Caller = 0; Caller < CallersPerPhase; ++Caller)
      Callers.push_back(std::async(std::launch::async, [&, Caller] {
        return this->callAll(Fault + '-' + std::to_string(Caller) + '-');
      }));
    for (auto &Each : Callers)
      All.merge(Each.get());
  }

  static constexpr int CallersPerPhase = 6;
  static constexpr int RequestsPerCaller = 6;
};

// Guards against "not run" for a request that ran, also when it runs after the
// answer, and against a second run of a booking.
TEST_F(RefusalSeriesTest, SeriesWithFaultsHasNoExecutionOfARefusedRequest) {
  this->deploy();
  Answers All;
  for (const char *Fault : {"clear", "reset", "hang", "shed", "slow_factor",
                            "drain_shed", "wrong_attempt"})
    this->runPhase(Fault, All);

  std::map<std::string, std::size_t> Executions;
  for (const RecordedExecution &Each : this->Running->record())
    ++Executions[Each.RequestId];
  std::map<std::string, int> Outcomes;
  for (const auto &[Id, Answer] : All) {
    ++Outcomes[Answer.Outcome];
    ASSERT_NE(Answer.Outcome, "") << Id << ' ' << Answer.Reply.Problem;
    if (Answer.Outcome == "refused") {
      EXPECT_EQ(Answer.Run, "not_run") << Id;
      EXPECT_EQ(Executions[Id], 0U) << Id << ' ' << Answer.Reply.Body;
    }
    if (Answer.Outcome == "complete") {
      EXPECT_GE(Executions[Id], 1U) << Id;
    }
  }
  for (const RecordedExecution &Each : this->Running->record())
    if (Each.Searcher.starts_with("weaving")) {
      EXPECT_EQ(Executions[Each.RequestId], 1U) << Each.RequestId;
    }
  for (const auto &[Outcome, Count] : Outcomes)
    this->RecordProperty(Outcome, Count);
  // A series without one of them would show nothing.
  EXPECT_GT(Outcomes["complete"], 0);
  EXPECT_GT(Outcomes["refused"], 0);
  EXPECT_GT(Outcomes["failed"], 0);
}

} // namespace acaciacross::systemtests
