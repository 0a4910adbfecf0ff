#include "Forwarding/ColdSearchers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// A fleet in virtual time whose VMs all want to send to one cold searcher as
/// often as they may. VMs start, stop and lose contact at random times, and
/// each hears of the others with a delay of its own.
class ColdStartFleetTest : public testing::TestWithParam<unsigned> {
protected:
  struct Vm {
    ColdSenderElection Election;
    ColdStartAllowance Allowance;
    milliseconds StartedAt{0};
    milliseconds DownFrom{0};
    milliseconds DownUntil{0};
    /// How late the VM hears of the others.
    milliseconds Delay{0};
    milliseconds LearnsAt{0};
    bool WasUp = false;
  };
  struct Arrival {
    milliseconds SentAt;
    milliseconds ArrivedAt;
  };

  void SetUp() override {
    this->Vms.resize(std::array{4U, 12U, 40U}[this->GetParam() % 3]);
    this->Tolerance = {milliseconds(3'000),
                       std::array{0.5, 1.0, 4.0, 12.5, 60.0}[this->random(5)]};
    this->PartitionFrom = this->randomTime(5'000, 25'000);
    this->PartitionUntil = this->PartitionFrom + this->randomTime(0, 12'000);
    this->PlacedCounts = {8 + this->random(8), 8 + this->random(24)};
    if (this->random(2) == 0)
      this->Groups = this->Vms.size();
    const bool AreAllStopped = this->random(3) == 0;
    const milliseconds AllDownFrom = this->randomTime(10'000, 25'000);
    for (Vm &Current : this->Vms) {
      Current.Delay = this->randomTime(0, 800);
      Current.LearnsAt = ColdFrom + this->randomTime(0, MaxLearnMs);
      Current.StartedAt = this->randomTime(0, 8'000);
      Current.DownFrom =
          AreAllStopped ? AllDownFrom : this->randomTime(9'000, 60'000);
      Current.DownUntil = Current.DownFrom + this->randomTime(200, 4'000);
    }
  }

  unsigned random(unsigned Limit) {
    return static_cast<unsigned>(this->Random() % Limit);
  }
  milliseconds randomTime(unsigned MinMs, unsigned MaxMs) {
    return milliseconds(MinMs + this->random(MaxMs - MinMs + 1));
  }
  static common::MonotonicTime at(milliseconds Time) {
    return common::MonotonicTime(Time);
  }
  static common::VmId idOf(std::size_t Index) {
    return common::VmId("vm-" + std::to_string(Index));
  }

  static bool isUp(const Vm &Current, milliseconds Time) {
    return Time >= Current.StartedAt &&
           (Time < Current.DownFrom || Time >= Current.DownUntil);
  }

  FleetMembers view(std::size_t Self, milliseconds Now) const {
    const Vm &Viewer = this->Vms[Self];
    const milliseconds UpSince =
        Now >= Viewer.DownUntil ? Viewer.DownUntil : Viewer.StartedAt;
    FleetMembers Members;
    Members.Self = idOf(Self);
    Members.IsKnown = Now - UpSince >= milliseconds(500);
    const milliseconds Seen = Now - Viewer.Delay;
    const bool IsSplit =
        Seen >= this->PartitionFrom && Seen < this->PartitionUntil;
    const bool IsLoaded = Seen / milliseconds(7'000) % 2 == 1;
    const std::size_t PlacedCount = this->PlacedCounts[IsLoaded ? 1 : 0];
    for (std::size_t I = 0; I < this->Vms.size(); ++I) {
      const bool IsReached =
          Members.IsKnown &&
          (!IsSplit || I % this->Groups == Self % this->Groups) &&
          isUp(this->Vms[I], Seen);
      if (I != Self && !IsReached)
        continue;
      Members.Live.push_back(idOf(I));
      if (Members.Placed.size() < PlacedCount)
        Members.Placed.insert(idOf(I));
    }
    Members.IsKnown = Members.IsKnown && Members.Live.size() > 1;
    return Members;
  }

  void step(std::size_t Index, milliseconds Now) {
    Vm &Current = this->Vms[Index];
    if (!isUp(Current, Now)) {
      Current.WasUp = false;
      return;
    }
    if (!Current.WasUp) {
      Current.Election = ColdSenderElection();
      Current.Allowance = ColdStartAllowance();
      Current.Allowance.setLimit(ColdStartLimit{this->Tolerance.Duration, 0});
      Current.WasUp = true;
    }
    if (Now % ViewPeriod == milliseconds(0)) {
      Current.Election.update(this->view(Index, Now), at(Now));
      const unsigned Total = ColdSearchers::fleetLimit(this->Tolerance, Bounds);
      Current.Allowance.setLimit(ColdStartLimit{
          this->Tolerance.Duration, Current.Election.share(Searcher, Total)});
    }
    const bool IsAware = Now >= Current.LearnsAt;
    if (IsAware && !Current.Allowance.isCold(at(Now)))
      Current.Allowance.onEntry(at(Now), milliseconds(60'000));
    // Until it knows, a VM sends five requests a second.
    const bool Sends =
        IsAware ? !Current.Allowance.isUsedUp(at(Now)) : this->random(10) == 0;
    if (!Sends)
      return;
    Current.Allowance.onSent(at(Now));
    this->Arrivals.push_back({Now, Now + this->randomTime(1, 90)});
  }

  /// The most requests that were sent and arrived within one second, once all
  /// VMs know that the searcher is cold.
  std::size_t busiestSecond() const {
    std::size_t Most = 0;
    for (const Arrival &First : this->Arrivals) {
      if (First.SentAt < ColdFrom + milliseconds(MaxLearnMs))
        continue;
      const auto Count =
          std::ranges::count_if(this->Arrivals, [&](const Arrival &Other) {
            return Other.SentAt >= First.SentAt &&
                   Other.ArrivedAt <= First.SentAt + milliseconds(1'000);
          });
      Most = std::max(Most, static_cast<std::size_t>(Count));
    }
    return Most;
  }

  static constexpr ColdStartSettings Bounds{1.5, 5.0};
  static constexpr milliseconds ColdFrom{10'000};
  static constexpr unsigned MaxLearnMs = 2'000;
  static constexpr milliseconds Step{50};
  static constexpr milliseconds ViewPeriod{200};
  static constexpr milliseconds End{40'000};
  const common::SearcherId Searcher{"i-1"};
  std::mt19937 Random{GetParam()};
  std::vector<Vm> Vms;
  ColdStartTolerance Tolerance;
  milliseconds PartitionFrom{0};
  milliseconds PartitionUntil{0};
  /// Number of groups that do not reach each other during the partition.
  std::size_t Groups = 2;
  std::array<unsigned, 2> PlacedCounts{};
  std::vector<Arrival> Arrivals;
};

// Neither VMs that have just started, nor two halves of the fleet, nor VMs that
// see changes of the fleet late may together exceed the bound.
TEST_P(ColdStartFleetTest, NoSecondExceedsTheBoundOfTheFleet) {
  for (milliseconds Now{0}; Now < End; Now += Step)
    for (std::size_t I = 0; I < this->Vms.size(); ++I)
      this->step(I, Now);
  const double Bound =
      this->Tolerance.RequestsPerSecond * Bounds.Overage + Bounds.Slack;
  EXPECT_LE(static_cast<double>(this->busiestSecond()), Bound)
      << this->Vms.size() << " VMs, " << this->Tolerance.RequestsPerSecond
      << " requests per second";
  const auto InLastSeconds =
      std::ranges::count_if(this->Arrivals, [](const Arrival &Each) {
        return Each.SentAt >= End - milliseconds(10'000);
      });
  EXPECT_GT(InLastSeconds, 0) << "cold searchers must be used at all";
}

INSTANTIATE_TEST_SUITE_P(Seeds, ColdStartFleetTest, testing::Range(1U, 61U));

} // namespace acaciacross::forwarding
