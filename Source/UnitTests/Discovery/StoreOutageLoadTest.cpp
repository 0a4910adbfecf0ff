#include "Common/SeededRandom.h"
#include "Discovery/StoreFollower.h"
#include "Discovery/StoreReadPolicy.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

/// A fleet that follows a store which comes and goes. The VMs hear of an answer
/// of the store half a second after it. The first two VMs are elected.
class StoreOutageLoadTest : public testing::Test {
protected:
  static constexpr std::size_t VmCount = 200;
  static constexpr milliseconds ReportTime{500};
  static constexpr milliseconds Step{20};

  /// The store, and what one VM knows.
  class Vm final : public StoreListener, public StoreReader {
  public:
    Vm(StoreOutageLoadTest &Test, std::size_t Number)
        : Test(Test), Random(Number + 1),
          Follower(*this, Test.Time, this->Random), Rank{Number, VmCount},
          IsElected(Number < 2) {}

    StorePage readPage(const std::string &, ReadConsistency) override {
      this->Test.countCall();
      if (!this->Test.IsUp)
        return {};
      return {StoreStatus::Answered, {}, false, 1, ""};
    }

    StoreChanges awaitChanges(std::uint64_t, milliseconds Wait) override {
      this->Test.countCall();
      if (!this->Test.IsUp)
        return {};
      this->CallTime = Wait;
      return {StoreStatus::Answered, {}, 1, ""};
    }

    void onSnapshot(std::vector<StoreItem>,
                    const StoreAnswer &Answer) override {
      this->HasSnapshot = true;
      if (Answer.Consistency == ReadConsistency::Current)
        this->recordAnswer();
    }
    void onChanges(std::vector<StoreChange>, const StoreAnswer &) override {
      this->recordAnswer();
    }
    void recordAnswer() {
      this->AnsweredAt = this->Test.Time.monotonicNow() + this->CallTime;
    }
    void onCallFailed(const std::string &, milliseconds) override {}
    void onUnavailable(const std::string &) override {}
    void onAvailable() override {}
    void onHistoryLost() override {}
    void onInvalidEra(const std::string &) override {}

    void step() {
      const common::MonotonicTime Now = this->Test.Time.monotonicNow();
      if (this->Test.NewestReport <= Now - ReportTime)
        this->Policy.recordAnswer(this->Test.NewestReport);
      if (this->AnsweredAt && *this->AnsweredAt <= Now) {
        this->Policy.recordAnswer(*this->AnsweredAt);
        this->Test.reportAnswer(*this->AnsweredAt);
        this->AnsweredAt.reset();
      }
      const bool MustRead = this->Policy.mustRead(
          Now, this->IsElected, this->HasSnapshot, this->Rank);
      if (MustRead && !this->WasReading)
        this->NextCallAt = std::min(this->NextCallAt, Now);
      if (!MustRead && this->WasReading && Now >= this->NextCallAt)
        this->Follower.suspend();
      this->WasReading = MustRead;
      if (!MustRead || Now < this->NextCallAt)
        return;
      StoreReadMode Mode;
      Mode.MaxBackOff = StoreReadPolicy::maxBackOff(
          this->IsElected, this->HasSnapshot, this->Rank);
      this->CallTime = milliseconds(0);
      const milliseconds Delay = this->Follower.poll(*this, Mode);
      this->NextCallAt = Now + this->CallTime + std::max(Delay, Step);
    }

  private:
    StoreOutageLoadTest &Test;
    common::SeededRandom Random;
    StoreFollower Follower;
    StoreReadPolicy Policy{milliseconds(6'000)};
    FallbackRank Rank;
    bool IsElected;
    bool HasSnapshot = false;
    bool WasReading = false;
    milliseconds CallTime{0};
    std::optional<common::MonotonicTime> AnsweredAt;
    common::MonotonicTime NextCallAt;
  };

  void SetUp() override {
    this->Time.advance(milliseconds(100'000));
    for (std::size_t I = 0; I < VmCount; ++I)
      this->Vms.push_back(std::make_unique<Vm>(*this, I));
    this->run(milliseconds(10'000), true);
    this->Calls = 0;
  }

  void countCall() { ++this->Calls; }

  void reportAnswer(common::MonotonicTime At) {
    // Peers have at most one report on its way.
    if (this->Pending <= this->NewestReport)
      this->Pending = At;
    this->NewestReport = std::max(this->NewestReport, this->Pending);
  }

  void run(milliseconds Duration, bool IsStoreUp) {
    this->IsUp = IsStoreUp;
    for (milliseconds Passed{0}; Passed < Duration; Passed += Step) {
      this->Time.advance(Step);
      for (const auto &Each : this->Vms)
        Each->step();
    }
  }

  testsupport::ManualClock Time;
  bool IsUp = true;
  std::size_t Calls = 0;
  common::MonotonicTime NewestReport;
  common::MonotonicTime Pending;
  std::vector<std::unique_ptr<Vm>> Vms;
};

// Each call is charged, also one that is refused.
TEST_F(StoreOutageLoadTest, CallsOfTwoOutagesStayBounded) {
  this->run(milliseconds(9'000), false);
  this->run(milliseconds(10'000), true);
  this->run(milliseconds(5'000), false);
  this->run(milliseconds(10'000), true);
  EXPECT_LT(this->Calls, 800U);
}

TEST_F(StoreOutageLoadTest, ElectedReadersAloneCallWhileTheStoreAnswers) {
  this->run(milliseconds(30'000), true);
  // Two watches, each renewed after 1.5 s.
  EXPECT_LE(this->Calls, 2U * 30U);
}

// A VM that hears of no answer must not wait for the others for ever.
TEST_F(StoreOutageLoadTest, FleetHearsOfAnAnswerSoonAfterALongOutage) {
  this->run(milliseconds(40'000), false);
  const common::MonotonicTime Return = this->Time.monotonicNow();
  this->run(milliseconds(2'000), true);
  EXPECT_GT(this->NewestReport, Return);
}

} // namespace acaciacross::discovery
