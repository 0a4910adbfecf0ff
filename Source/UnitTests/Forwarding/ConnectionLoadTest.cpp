#include "Forwarding/UrgencyOrder.h"

#include "NullAttemptListener.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// Plays callers that together ask for more connections than become free, in
/// virtual time: one becomes free every 4 ms. Attempts leave after five times
/// their target.
class ConnectionLoadTest : public testing::Test {
protected:
  struct Source {
    std::string Caller;
    int Priority;
    milliseconds Period;
    milliseconds Target;
  };
  struct Counts {
    int Asked = 0;
    int InTime = 0;
    int Served = 0;

    double served() const { return 1.0 * this->Served / this->Asked; }
    double inTime() const { return 1.0 * this->InTime / this->Asked; }
  };
  static inline const std::vector<Source> LongBurst{
      {"urgent", 0, milliseconds(12), milliseconds(40)},
      {"batch", 1, milliseconds(2), milliseconds(100)}};
  static inline const std::vector<Source> PressingCaller{
      {"presses", 0, milliseconds(1), milliseconds(60)},
      {"other", 0, milliseconds(16), milliseconds(60)},
      {"third", 0, milliseconds(16), milliseconds(60)}};

  void play(const std::vector<Source> &Sources) {
    for (int Ms = 0; Ms < 10'000; ++Ms) {
      for (const Source &From : Sources)
        if (Ms % From.Period.count() == 0)
          this->ask(From);
      this->leave();
      if (Ms % 4 == 0)
        this->serve();
      this->Time.advance(milliseconds(1));
    }
    for (const auto &[Caller, Counted] : this->ByCaller)
      std::cout << (this->IsInOrderOfArrival ? "arrival: " : "urgency: ")
                << Caller << " served " << Counted.served() << ", in time "
                << Counted.inTime() << '\n';
  }

  const Counts &of(const std::string &Caller) const {
    return this->ByCaller.at(Caller);
  }

  bool IsInOrderOfArrival = false;

private:
  struct Waiting {
    NullAttemptListener Listener;
    Source From;
    common::MonotonicTime Since;
  };

  void ask(const Source &From) {
    const common::MonotonicTime Now = this->Time.monotonicNow();
    auto Added = std::make_unique<Waiting>();
    Added->From = From;
    Added->Since = Now;
    Urgency Place{From.Priority, Now + From.Target,
                  common::CallerHost(From.Caller)};
    if (this->IsInOrderOfArrival)
      Place = {0, common::MonotonicTime::max(), {}};
    this->Order.add(Added->Listener, Place);
    ++this->ByCaller[From.Caller].Asked;
    this->Waits.emplace(&Added->Listener, std::move(Added));
  }

  void leave() {
    std::erase_if(this->Waits, [&](const auto &Entry) {
      const Waiting &Left = *Entry.second;
      if (this->Time.monotonicNow() - Left.Since < 5 * Left.From.Target)
        return false;
      this->Order.remove(*Entry.first);
      return true;
    });
  }

  void serve() {
    const common::MonotonicTime Now = this->Time.monotonicNow();
    AttemptListener *const Next = this->Order.takeNext(Now);
    if (Next == nullptr)
      return;
    const Waiting &Taken = *this->Waits.at(Next);
    Counts &Counted = this->ByCaller[Taken.From.Caller];
    ++Counted.Served;
    Counted.InTime += Now - Taken.Since <= Taken.From.Target ? 1 : 0;
    this->Waits.erase(Next);
  }

  testsupport::ManualClock Time;
  UrgencyOrder Order;
  std::map<AttemptListener *, std::unique_ptr<Waiting>> Waits;
  std::map<std::string, Counts> ByCaller;
};

TEST_F(ConnectionLoadTest, BurstLeavesUrgentAttemptsInTimeAndStarvesNone) {
  this->play(LongBurst);
  EXPECT_GE(this->of("urgent").inTime(), 0.9);
  EXPECT_GE(this->of("batch").served(), 0.25 * this->of("urgent").served());
}

// What the decision is measured against: all attempts are late.
TEST_F(ConnectionLoadTest, BurstInOrderOfArrivalMakesUrgentAttemptsLate) {
  this->IsInOrderOfArrival = true;
  this->play(LongBurst);
  EXPECT_LT(this->of("urgent").inTime(), 0.1);
}

// The urgent attempts alone ask for more than there is.
TEST_F(ConnectionLoadTest, UrgentBurstLeavesAQuarterOfTheShareToOthers) {
  this->play({{"urgent", 0, milliseconds(1), milliseconds(40)},
              {"batch", 1, milliseconds(20), milliseconds(100)}});
  EXPECT_GE(this->of("batch").served(), 0.25 * this->of("urgent").served());
  EXPECT_GE(this->of("urgent").served(), this->of("batch").served());
}

TEST_F(ConnectionLoadTest, CallerThatPressesLeavesTheOthersTheirShare) {
  this->play(PressingCaller);
  EXPECT_GE(this->of("other").inTime(), 0.9);
  EXPECT_GE(this->of("third").inTime(), 0.9);
  // What the others leave goes to the caller that presses.
  EXPECT_GE(this->of("presses").Served, 1'000);
}

TEST_F(ConnectionLoadTest, CallerThatPressesInOrderOfArrivalMakesOthersLate) {
  this->IsInOrderOfArrival = true;
  this->play(PressingCaller);
  EXPECT_LT(this->of("other").inTime(), 0.1);
}

} // namespace acaciacross::forwarding
