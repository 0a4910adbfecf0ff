#include "Discovery/PublishedState.h"
#include "Discovery/StoreFollower.h"

#include "EraStore.h"
#include "FakeDecoder.h"

#include "Common/SeededRandom.h"
#include "Discovery/StoreReadPolicy.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>

namespace acaciacross::discovery {

using common::StorePosition;
using std::chrono::milliseconds;

/// VMs that read a store, which returns from older copies, and pull from each
/// other. They freeze and start anew at any time, and what they are told
/// arrives in a random order.
class StoreEraPropagationTest : public testing::Test {
protected:
  static constexpr std::size_t VmCount = 4;
  static constexpr std::array Searchers{"s/a", "s/b", "s/c"};

  struct Writer {
    long Start = 0;
    long Sequence = 0;
    bool IsListed = false;
    bool IsDraining = false;
    /// The last entry of the run that has left, and when it was removed.
    std::string LastValue;
    StorePosition LeftAt;
  };

  struct StoreVersion {
    common::MonotonicTime Since;
    std::uint64_t Era = 0;
    std::uint64_t Version = 0;
  };

  class Vm final : public StoreListener {
  public:
    explicit Vm(StoreEraPropagationTest &Test)
        : State(Test.Decoder, Test.Time, Test.Log),
          Follower(*this, Test.Time, Test.Random) {}

    void onSnapshot(std::vector<StoreItem> Items,
                    const StoreAnswer &Answer) override {
      this->StoreAnswers.push_back([this, Items, Answer] {
        if (Answer.Consistency == ReadConsistency::Current)
          this->Policy.recordAnswer(Answer.GivenAt, Answer.Position.Era);
        this->State.onSnapshot(Items, Answer.Position);
      });
    }
    void onChanges(std::vector<StoreChange> Changes,
                   const StoreAnswer &Answer) override {
      this->StoreAnswers.push_back([this, Changes, Answer] {
        this->Policy.recordAnswer(Answer.GivenAt, Answer.Position.Era);
        if (!Changes.empty())
          this->State.onChanges(Changes, Answer.Position);
      });
    }
    void onCallFailed(const std::string &, milliseconds) override {}
    void onUnavailable(const std::string &) override {}
    void onAvailable() override {}
    void onHistoryLost() override {}
    void onInvalidEra(const std::string &) override {}

    void poll(StoreReader &Store) {
      this->Follower.poll(Store, {true, this->State.position()});
    }

    std::uint64_t version() const {
      return this->State.table() == nullptr ? 0
                                            : this->State.table()->version();
    }

    PublishedState State;
    StoreReadPolicy Policy{milliseconds(3'000)};
    StoreFollower Follower;
    std::deque<std::function<void()>> StoreAnswers;
    std::deque<std::function<void()>> PeerMessages;
    bool IsFrozen = false;
    std::uint64_t MaxVersion = 0;
    std::map<std::string, std::string> HeardEntries;
    /// The newest run of each searcher that this VM knows to be over, or to
    /// drain.
    std::map<std::string, std::int64_t> EndedRuns;
  };

  std::size_t draw(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(this->Luck);
  }

  void start(std::uint32_t Seed) {
    this->Luck.seed(Seed);
    this->Store = std::make_unique<EraStore>(
        [this](std::size_t Count) { return this->draw(Count); });
    this->Store->BeforePage = [this] {
      if (this->draw(4) == 0)
        this->changeStore();
    };
    this->Writers.clear();
    this->StoreVersions.clear();
    this->Version = 0;
    for (int I = 0; I < 6; ++I)
      this->changeStore();
    for (auto &Each : this->Vms)
      Each = std::make_unique<Vm>(*this);
  }

  void changeStore() {
    this->Time.advance(milliseconds(1));
    if (this->Version > 0 && this->draw(12) == 0)
      this->Store->returnFromCopy(this->draw(8));
    else if (this->Version > 0 && this->draw(3) > 0)
      this->writeSearcher(Searchers[this->draw(Searchers.size())]);
    else if (this->draw(2) == 0 || !this->Store->writeLostAgain())
      this->Store->write("routes",
                         "version:" + std::to_string(++this->Version));
    this->noteStoreVersion();
  }

  void noteStoreVersion() {
    const std::string Value =
        this->Store->value("routes", this->Store->position());
    this->StoreVersions.push_back({this->Time.monotonicNow(),
                                   this->Store->position().Era,
                                   versionOf(Value)});
  }

  static std::uint64_t versionOf(const std::string &Value) {
    return Value.empty() ? 0 : std::stoul(Value.substr(8));
  }

  /// A searcher starts, writes again, drains, leaves, or is silent for a while.
  void writeSearcher(const std::string &Key) {
    Writer &Run = this->Writers[Key];
    const bool HasLeft = !Run.IsListed && Run.LeftAt.Era > 0;
    if (Run.Start == 0 || HasLeft)
      Run = {Run.Start + 1, 0, true, false, "", {}};
    else if (Run.IsListed && this->draw(3) == 0)
      return this->removeSearcher(Key, Run);
    Run.IsListed = true;
    Run.IsDraining = Run.IsDraining || this->draw(4) == 0;
    Run.LastValue = std::string(Run.IsDraining ? "draining" : "searcher") +
                    ":" + std::to_string(Run.Start) + ":" +
                    std::to_string(++Run.Sequence);
    this->Store->write(Key, Run.LastValue);
  }

  void removeSearcher(const std::string &Key, Writer &Run) {
    this->Store->write(Key, "");
    Run.IsListed = false;
    if (Run.IsDraining || this->draw(2) == 0)
      Run.LeftAt = this->Store->position();
  }

  void acknowledge(Vm &Receiver, const Vm &Sender) {
    const common::MonotonicTime Now = this->Time.monotonicNow();
    Receiver.PeerMessages.push_back(
        [&Receiver,
         At = Now - Sender.Policy.reportedAge(Now, Sender.State.position().Era),
         Known = Sender.State.position()] {
          Receiver.Policy.recordPeerAnswer(At, Known,
                                           Receiver.State.position());
        });
  }

  /// A peer that is behind answers, too: the receiver may have learnt more
  /// since it asked.
  void pull(Vm &Receiver, const Vm &Sender) {
    const StorePosition Known =
        this->draw(4) == 0 ? StorePosition() : Receiver.State.position();
    Receiver.PeerMessages.push_back(
        [&Receiver, Reply = Sender.State.changesSince(Known)] {
          Receiver.State.apply(Reply);
        });
  }

  void deliver(Vm &Receiver) {
    if (!Receiver.StoreAnswers.empty() && this->draw(2) == 0) {
      Receiver.StoreAnswers.front()();
      Receiver.StoreAnswers.pop_front();
    } else if (!Receiver.PeerMessages.empty()) {
      const auto It =
          Receiver.PeerMessages.begin() +
          static_cast<std::ptrdiff_t>(this->draw(Receiver.PeerMessages.size()));
      (*It)();
      Receiver.PeerMessages.erase(It);
    }
  }

  void step() {
    this->Time.advance(milliseconds(1));
    std::unique_ptr<Vm> &Chosen = this->Vms[this->draw(VmCount)];
    const Vm &Peer = *this->Vms[this->draw(VmCount)];
    const std::size_t Action = this->draw(10);
    if (Action == 0)
      return this->changeStore();
    if (Action == 1 && this->draw(10) == 0)
      Chosen->IsFrozen = !Chosen->IsFrozen;
    if (Chosen->IsFrozen || Action == 1)
      return;
    if (Action == 2 && this->draw(10) == 0)
      Chosen = std::make_unique<Vm>(*this);
    else if (Action == 3 && Chosen->StoreAnswers.empty())
      Chosen->poll(*this->Store);
    else if (Action == 4 && &Peer != Chosen.get())
      this->pull(*Chosen, Peer);
    else if (Action == 5)
      this->acknowledge(*Chosen, Peer);
    else if (Action > 5)
      this->deliver(*Chosen);
  }

  /// What a VM claims to know of the store, it holds.
  void checkVersions(Vm &Checked) {
    const std::uint64_t Version = Checked.version();
    EXPECT_GE(Version, Checked.MaxVersion) << "a version went back";
    Checked.MaxVersion = Version;
    const StorePosition Known = Checked.State.position();
    if (Known.Era > 0) {
      EXPECT_GE(Version, versionOf(this->Store->value("routes", Known)));
    }
    const common::MonotonicTime Now = this->Time.monotonicNow();
    const common::MonotonicTime InformedAt =
        Now - Checked.Policy.answerAge(Now);
    // What the store had in an earlier era may be lost.
    const auto Later = std::ranges::upper_bound(this->StoreVersions, InformedAt,
                                                {}, &StoreVersion::Since);
    if (Later != this->StoreVersions.begin() &&
        std::prev(Later)->Era == Known.Era) {
      EXPECT_GE(Version, std::prev(Later)->Version) << "of an answer";
    }
  }

  /// A run that drains or has left is not used again.
  void checkSearchers(Vm &Checked) {
    std::set<std::string> Listed;
    for (const forwarding::SearcherEntry &Entry : Checked.State.searchers()) {
      const std::string &Key = Entry.Id.Value;
      Listed.insert(Key);
      const auto Ended = Checked.EndedRuns.find(Key);
      if (Ended != Checked.EndedRuns.end()) {
        EXPECT_TRUE(Entry.IsDraining || Entry.StartedUnixMs > Ended->second)
            << Key << " is back";
      }
      if (Entry.IsDraining)
        Checked.EndedRuns[Key] = Entry.StartedUnixMs;
    }
    for (const StoreItem &Item : Checked.State.items())
      Checked.HeardEntries[Item.Key] = Item.Value;
    const StorePosition Known = Checked.State.position();
    for (const auto &[Key, Run] : this->Writers)
      if (Run.LeftAt.Era == Known.Era && Run.LeftAt <= Known &&
          !Listed.contains(Key) && Checked.HeardEntries[Key] == Run.LastValue)
        Checked.EndedRuns[Key] = Run.Start;
  }

  /// Some time after the last return all VMs know what was written.
  void settle() {
    while (this->Store->writeLostAgain())
      this->noteStoreVersion();
    this->Store->BeforePage = nullptr;
    for (const auto &Each : this->Vms) {
      for (int I = 0; I < 6; ++I) {
        Each->poll(*this->Store);
        while (!Each->StoreAnswers.empty() || !Each->PeerMessages.empty())
          this->deliver(*Each);
      }
      EXPECT_EQ(Each->State.position(), this->Store->position());
      EXPECT_EQ(Each->version(), this->Version);
    }
    this->Time.advance(milliseconds(2'300));
    for (const auto &Each : this->Vms) {
      Each->State.expire();
      std::size_t Listed = 0;
      for (const auto &[Key, Run] : this->Writers)
        Listed += Run.IsListed ? 1 : 0;
      EXPECT_EQ(Each->State.searchers().size(), Listed);
    }
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  FakeDecoder Decoder;
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  std::mt19937 Luck;
  std::unique_ptr<EraStore> Store;
  std::map<std::string, Writer> Writers;
  std::uint64_t Version = 0;
  /// The version that the store has had since each time.
  std::vector<StoreVersion> StoreVersions;
  std::array<std::unique_ptr<Vm>, VmCount> Vms;
};

// A revision that is compared without its era at one place is enough to keep a
// version out for as long as the store needs to pass the old revision.
TEST_F(StoreEraPropagationTest, VmsOfSeveralErasHoldWhatTheyClaimAndAgree) {
  for (std::uint32_t Seed = 1; Seed <= 1'000; ++Seed) {
    this->start(Seed);
    for (int Step = 0; Step < 400; ++Step) {
      this->step();
      for (const auto &Each : this->Vms) {
        this->checkVersions(*Each);
        this->checkSearchers(*Each);
      }
      ASSERT_FALSE(HasFailure()) << "seed " << Seed << ", step " << Step;
    }
    this->settle();
    ASSERT_FALSE(HasFailure()) << "seed " << Seed << ", at the end";
  }
}

} // namespace acaciacross::discovery
