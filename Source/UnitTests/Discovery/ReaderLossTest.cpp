#include "Discovery/FallbackRank.h"
#include "Discovery/StoreReadPolicy.h"
#include "Discovery/StoreReaderElection.h"

#include "Membership/FleetLimits.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

/// Plays the time of a version from the store to all VMs of a small fleet in
/// virtual time, with rounds of probes at random offsets.
class ReaderLossTest : public testing::Test {
protected:
  static constexpr milliseconds MaxChangeDelay{3'000};
  /// Connection, request and the wait of a call that is answered at once.
  static constexpr milliseconds CallTime{50};
  static constexpr milliseconds AckTime{10};
  static constexpr milliseconds PullTime{30};

  struct Vm {
    common::VmId Id;
    StoreReadPolicy Policy{MaxChangeDelay};
    milliseconds RoundOffset{0};
    /// When this VM knows the version.
    std::optional<milliseconds> KnownAt;
    std::optional<milliseconds> AnswerDueAt;
    bool IsStopped = false;
  };

  std::vector<common::VmId> ids() const {
    std::vector<common::VmId> Ids;
    for (const Vm &Each : this->Vms)
      Ids.push_back(Each.Id);
    return Ids;
  }

  static bool isElected(const common::VmId &Own,
                        const std::vector<common::VmId> &Ids,
                        const std::set<common::VmId> &Silent) {
    return StoreReaderElection::isElected(Own, {Ids.begin(), Ids.end()}, Ids,
                                          Silent);
  }

  /// All VMs have just heard of an answer; the readers have not stopped yet.
  void startFleet(std::size_t Count) {
    this->Vms.clear();
    for (std::size_t I = 0; I < Count; ++I) {
      Vm Added;
      Added.Id = common::VmId("vm-" + std::to_string(this->Luck()));
      Added.Policy.recordAnswer(this->Start);
      Added.RoundOffset = milliseconds(this->Luck() % 200);
      this->Vms.push_back(Added);
    }
  }

  /// One round of probes of the VM at the time.
  void runRound(Vm &Own, milliseconds Now, milliseconds StoppedAt) {
    const std::vector<common::VmId> Ids = this->ids();
    std::set<common::VmId> Silent;
    const milliseconds FirstUnanswered =
        StoppedAt + (Own.RoundOffset - StoppedAt % 200 + milliseconds(200)) %
                        milliseconds(200);
    for (const Vm &Each : this->Vms)
      if (Each.IsStopped && Now - FirstUnanswered >= membership::MaxEvidenceAge)
        Silent.insert(Each.Id);
    std::vector<common::VmId> Responsive = Ids;
    std::erase_if(Responsive,
                  [&](const common::VmId &Id) { return Silent.contains(Id); });
    const bool MustRead =
        Own.Policy.mustRead(this->Start + Now, isElected(Own.Id, Ids, Silent),
                            true, FallbackRank::of(Own.Id, Responsive));
    if (MustRead && !Own.AnswerDueAt)
      Own.AnswerDueAt = Now + CallTime;
    for (Vm &Peer : this->Vms)
      if (!Own.KnownAt && !Peer.IsStopped && Peer.KnownAt &&
          *Peer.KnownAt <= Now)
        Own.KnownAt = Now + AckTime + PullTime;
  }

  /// Both readers and some other VMs stop at the time, just before a reader
  /// would have read a version that was confirmed just after its last answer.
  /// Returns when the last VM has it.
  milliseconds timeUntilAllKnow(milliseconds StoppedAt, std::size_t Others) {
    const std::vector<common::VmId> Ids = this->ids();
    for (Vm &Each : this->Vms)
      Each.IsStopped = isElected(Each.Id, Ids, {});
    for (Vm &Each : this->Vms)
      if (!Each.IsStopped && Others > 0) {
        Each.IsStopped = true;
        --Others;
      }
    milliseconds Now = StoppedAt;
    const auto IsDone = [](const Vm &Each) {
      return Each.IsStopped || Each.KnownAt;
    };
    for (; !std::ranges::all_of(this->Vms, IsDone); ++Now) {
      for (Vm &Each : this->Vms) {
        if (Each.IsStopped)
          continue;
        if (!Each.KnownAt && Each.AnswerDueAt && *Each.AnswerDueAt <= Now)
          Each.KnownAt = Now;
        if (Now % membership::ProbePeriod == Each.RoundOffset)
          this->runRound(Each, Now, StoppedAt);
      }
    }
    milliseconds Last{0};
    for (const Vm &Each : this->Vms)
      if (!Each.IsStopped)
        Last = std::max(Last, *Each.KnownAt);
    return Last;
  }

  testsupport::ManualClock Time;
  common::MonotonicTime Start = this->Time.monotonicNow();
  std::mt19937 Luck;
  std::vector<Vm> Vms;
};

// Both readers lost power in their pause after an answer. The other VMs began
// to read 2.1 s after it, and the rest of the way took more than was left.
TEST_F(ReaderLossTest, VersionIsInForceInTimeWhenBothReadersStop) {
  milliseconds Longest{0};
  for (std::uint32_t Seed = 1; Seed <= 500; ++Seed) {
    this->Luck.seed(Seed);
    this->startFleet(9);
    const milliseconds StoppedAt(1 + this->Luck() % 350);
    Longest = std::max(Longest, this->timeUntilAllKnow(StoppedAt, Seed % 5));
  }
  RecordProperty("longest_ms", static_cast<int>(Longest.count()));
  // A VM whose threads run late by less than a pause must still be in time.
  EXPECT_LE(Longest, MaxChangeDelay - membership::PauseThreshold);
}

} // namespace acaciacross::discovery
