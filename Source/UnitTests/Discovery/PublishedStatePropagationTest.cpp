#include "Discovery/PublishedState.h"

#include "FakeDecoder.h"

#include "Discovery/StoreReadPolicy.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace acaciacross::discovery {

/// A few VMs that read a store in two pages, watch it and pull from each other;
/// all answers arrive in a random order.
class PublishedStatePropagationTest : public testing::Test {
protected:
  static constexpr std::size_t VmCount = 4;
  static constexpr std::array Keys{"routes", "s/a", "s/b", "s/c", "s/d"};
  /// Keys up to this one are on the first page.
  static constexpr const char *LastKeyOfFirstPage = "s/b";

  struct Vm {
    std::unique_ptr<PublishedState> State;
    StoreReadPolicy Policy{std::chrono::seconds(3)};
    /// The items of a first page and its revision, while a read is under way.
    std::vector<StoreItem> FirstPage;
    std::uint64_t FirstPageRevision = 0;
    common::MonotonicTime FirstPageAt;
    /// Whether the read may not be stale.
    bool IsCurrent = false;
    /// Answers that have been given and not been received yet.
    std::deque<std::function<void()>> StoreAnswers;
    std::deque<std::function<void()>> PeerMessages;
  };

  std::size_t draw(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(this->Luck);
  }

  void restart(Vm &Target) {
    Target = Vm{};
    Target.State =
        std::make_unique<PublishedState>(this->Decoder, this->Time, this->Log);
  }

  void write() {
    const std::string Key = Keys[this->draw(Keys.size())];
    const auto Revision = static_cast<std::uint64_t>(this->History.size() + 1);
    const bool IsRoutes = Key == "routes";
    const bool IsRemoval = !IsRoutes && this->draw(3) == 0;
    const std::string Value =
        IsRoutes ? "version:" + std::to_string(Revision) : "searcher";
    this->History.push_back(
        {{Key, IsRemoval ? "" : Value, Revision}, IsRemoval});
    this->WrittenAt.push_back(this->Time.monotonicNow());
  }

  /// The last change of the key up to the revision; null if there is none.
  const StoreChange *lastChange(const std::string &Key,
                                std::uint64_t UpTo) const {
    for (std::size_t I = UpTo; I > 0; --I)
      if (this->History[I - 1].Item.Key == Key)
        return &this->History[I - 1];
    return nullptr;
  }

  std::vector<StoreItem> page(bool IsFirst, std::uint64_t Revision) const {
    std::vector<StoreItem> Items;
    for (const std::string Key : Keys) {
      const StoreChange *Last = this->lastChange(Key, Revision);
      if ((Key <= LastKeyOfFirstPage) == IsFirst && Last != nullptr &&
          !Last->IsRemoval)
        Items.push_back(Last->Item);
    }
    return Items;
  }

  /// Reads one of two pages. A first read may be stale.
  void readPage(Vm &Reader) {
    const auto Newest = static_cast<std::uint64_t>(this->History.size());
    if (Reader.FirstPageRevision == 0)
      Reader.IsCurrent = Reader.State->hasSnapshot();
    const std::uint64_t Age = Reader.IsCurrent ? 0 : this->draw(4);
    const std::uint64_t Revision = Newest - std::min(Age, Newest);
    if (Reader.FirstPageRevision == 0) {
      Reader.FirstPage = this->page(true, Revision);
      Reader.FirstPageRevision = Revision;
      Reader.FirstPageAt = this->Time.monotonicNow();
      return;
    }
    std::vector<StoreItem> Items = std::move(Reader.FirstPage);
    for (StoreItem &Item : this->page(false, Revision))
      Items.push_back(std::move(Item));
    const std::uint64_t Known = std::min(Reader.FirstPageRevision, Revision);
    Reader.FirstPageRevision = 0;
    Reader.StoreAnswers.push_back([&Reader, Items, Known,
                                   IsCurrent = Reader.IsCurrent,
                                   GivenAt = Reader.FirstPageAt] {
      if (IsCurrent)
        Reader.Policy.recordAnswer(GivenAt);
      Reader.State->onSnapshot(Items, Known);
    });
  }

  void watch(Vm &Reader) {
    if (!Reader.State->hasSnapshot() || !Reader.StoreAnswers.empty())
      return;
    const std::uint64_t After = Reader.State->position().Revision;
    const auto UpTo = static_cast<std::uint64_t>(this->History.size());
    std::vector<StoreChange> Changes(this->History.begin() +
                                         static_cast<std::ptrdiff_t>(After),
                                     this->History.end());
    Reader.StoreAnswers.push_back(
        [&Reader, Changes, UpTo, GivenAt = this->Time.monotonicNow()] {
          Reader.Policy.recordAnswer(GivenAt);
          if (!Changes.empty())
            Reader.State->onChanges(Changes, UpTo);
        });
  }

  /// The sender acknowledges a probe that the receiver sends now.
  void acknowledge(Vm &Receiver, const Vm &Sender) {
    const common::MonotonicTime Now = this->Time.monotonicNow();
    Receiver.PeerMessages.push_back([&Receiver,
                                     At = Now - Sender.Policy.answerAge(Now),
                                     Revision = Sender.State->position()] {
      Receiver.Policy.recordPeerAnswer(At, Revision,
                                       Receiver.State->position());
    });
  }

  void pull(Vm &Receiver, const Vm &Sender) {
    if (&Receiver == &Sender ||
        Sender.State->position() <= Receiver.State->position())
      return;
    const PublishedChanges Reply =
        Sender.State->changesSince(Receiver.State->position());
    Receiver.PeerMessages.push_back(
        [&Receiver, Reply] { Receiver.State->apply(Reply); });
  }

  /// Delivers one answer. Those of the store arrive in their order, messages
  /// of peers in any order.
  void deliver(Vm &Receiver) {
    if (!Receiver.StoreAnswers.empty() && this->draw(2) == 0) {
      const auto Answer = std::move(Receiver.StoreAnswers.front());
      Receiver.StoreAnswers.pop_front();
      Answer();
    } else if (!Receiver.PeerMessages.empty()) {
      const auto It =
          Receiver.PeerMessages.begin() +
          static_cast<std::ptrdiff_t>(this->draw(Receiver.PeerMessages.size()));
      const auto Reply = std::move(*It);
      Receiver.PeerMessages.erase(It);
      Reply();
    }
  }

  void step() {
    Vm &Chosen = this->Vms[this->draw(VmCount)];
    this->Time.advance(std::chrono::milliseconds(1));
    switch (this->draw(8)) {
    case 0:
      return this->write();
    case 1:
      return this->readPage(Chosen);
    case 2:
      return this->watch(Chosen);
    case 3:
      return this->pull(Chosen, this->Vms[this->draw(VmCount)]);
    case 4:
      if (this->draw(10) == 0)
        this->restart(Chosen);
      return;
    case 5:
      return this->acknowledge(Chosen, this->Vms[this->draw(VmCount)]);
    default:
      return this->deliver(Chosen);
    }
  }

  /// "Known up to a revision" promises that for each key the VM holds its last
  /// change up to that revision, or a later one.
  bool holdsAllItKnows(const Vm &Checked) const {
    return !Checked.State->hasSnapshot() ||
           this->holdsAllUpTo(Checked, Checked.State->position().Revision);
  }

  /// The age of an answer promises the same for all changes before it.
  bool holdsAllItHeardOf(const Vm &Checked) const {
    const common::MonotonicTime Now = this->Time.monotonicNow();
    const common::MonotonicTime InformedAt =
        Now - Checked.Policy.answerAge(Now);
    const auto Later = std::ranges::upper_bound(this->WrittenAt, InformedAt);
    return this->holdsAllUpTo(
        Checked, static_cast<std::uint64_t>(Later - this->WrittenAt.begin()));
  }

  bool holdsAllUpTo(const Vm &Checked, std::uint64_t Known) const {
    const std::vector<StoreItem> Items = Checked.State->items();
    for (const std::string Key : Keys) {
      const auto Held = std::ranges::find(Items, Key, &StoreItem::Key);
      const StoreChange *Last = this->lastChange(Key, Known);
      const StoreChange *Newest = this->lastChange(Key, this->History.size());
      if (Held != Items.end() && Last != nullptr &&
          Held->Position < Last->Item.Position)
        return false;
      const bool MustHold = Last != nullptr && !Last->IsRemoval &&
                            (Newest == Last || !Newest->IsRemoval);
      if (Held == Items.end() && MustHold &&
          this->isNeverRemovedAfter(Key, Known))
        return false;
    }
    return true;
  }

  /// Whether no change after the revision removes the key.
  bool isNeverRemovedAfter(const std::string &Key, std::uint64_t After) const {
    return std::none_of(this->History.begin() +
                            static_cast<std::ptrdiff_t>(After),
                        this->History.end(), [&](const StoreChange &Change) {
                          return Change.Item.Key == Key && Change.IsRemoval;
                        });
  }

  testsupport::ManualClock Time;
  FakeDecoder Decoder;
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  std::mt19937 Luck;
  /// All changes of the store; the revision of each is its position from 1.
  std::vector<StoreChange> History;
  /// When each of the changes was made.
  std::vector<common::MonotonicTime> WrittenAt;
  std::array<Vm, VmCount> Vms;
};

// A VM took a revision for known whose changes it had only in part, or took
// itself for informed without them, and kept an older version of the routes.
TEST_F(PublishedStatePropagationTest, NoVmClaimsMoreThanItHolds) {
  constexpr std::uint32_t Seeds = 2'000;
  constexpr int Steps = 250;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    this->Luck.seed(Seed);
    this->History.clear();
    this->WrittenAt.clear();
    for (int I = 0; I < 4; ++I)
      this->write();
    for (Vm &Each : this->Vms)
      this->restart(Each);
    for (int Step = 0; Step < Steps; ++Step) {
      this->step();
      for (const Vm &Each : this->Vms) {
        ASSERT_TRUE(this->holdsAllItKnows(Each))
            << "seed " << Seed << ", step " << Step << ", known up to "
            << Each.State->position().Revision;
        ASSERT_TRUE(this->holdsAllItHeardOf(Each))
            << "seed " << Seed << ", step " << Step << ", knows "
            << Each.State->position().Revision << " of "
            << this->History.size();
      }
    }
  }
}

} // namespace acaciacross::discovery
