#include "Discovery/PublishedState.h"

#include <algorithm>
#include <utility>

namespace acaciacross::discovery {

namespace {

// A searcher that lives registers again within 2 s of the store's return, and
// its entry takes a moment to arrive here.
constexpr std::chrono::milliseconds ReturnTime{2'200};
// Several times the keys of a deployment; removed ones are kept for peers that
// have not heard of their removal.
constexpr std::size_t MaxRemembered = 4'000;

} // namespace

PublishedState::PublishedState(const ItemDecoder &Decoding,
                               const common::Clock &TimeSource,
                               logging::EventLog &Journal)
    : Decoder(Decoding), Time(TimeSource), Log(Journal) {}

void PublishedState::onSnapshot(std::vector<StoreItem> Items,
                                std::uint64_t Revision) {
  std::set<std::string> Present;
  for (const StoreItem &Each : Items) {
    Present.insert(Each.Key);
    if (this->remember({Each, false}))
      this->apply(Each);
  }
  std::vector<std::string> Missing;
  for (const auto &[Key, Change] : this->Latest)
    if (!Change.IsRemoval && !Present.contains(Key) &&
        Change.Item.Revision <= Revision)
      Missing.push_back(Key);
  for (const std::string &Key : Missing) {
    this->remember({{Key, "", Revision}, true});
    this->remove(Key);
  }
  this->Known = std::max(this->Known, Revision);
  // Of keys that were never known here, removals before this are not known, so
  // a peer that knows less cannot be told what to remove.
  this->ForgottenUpTo = std::max(this->ForgottenUpTo, Revision);
  this->Complete = true;
}

void PublishedState::onChanges(std::vector<StoreChange> Batch,
                               std::uint64_t Revision) {
  this->Known = std::max(this->Known, Revision);
  for (const StoreChange &Each : Batch) {
    if (!this->remember(Each))
      continue;
    if (Each.IsRemoval)
      this->remove(Each.Item.Key);
    else
      this->apply(Each.Item);
  }
}

void PublishedState::onAnswered() {
  this->AnsweredAt = this->Time.monotonicNow();
}

void PublishedState::onCallFailed(const std::string &Problem,
                                  std::chrono::milliseconds Duration) {
  this->Log.write(logging::LogRecord(common::LogEvent::StoreCallFailed)
                      .text("reason", Problem)
                      .milliseconds("took_ms", Duration));
}

void PublishedState::onUnavailable(const std::string &Problem) {
  this->AwaySince = this->Time.monotonicNow();
  this->Log.write(logging::LogRecord(common::LogEvent::StoreUnavailable)
                      .text("reason", Problem)
                      .number("searchers",
                              static_cast<std::int64_t>(this->Entries.size())));
}

void PublishedState::onAvailable() {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->HoldUntil = Now + ReturnTime;
  this->Log.write(
      logging::LogRecord(common::LogEvent::StoreAvailable)
          .milliseconds("away_ms", Now - this->AwaySince.value_or(Now)));
  this->AwaySince.reset();
}

void PublishedState::onHistoryLost() {
  this->Log.write(logging::LogRecord(common::LogEvent::HistoryLost));
}

void PublishedState::expire() {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  std::vector<std::string> Over;
  for (const auto &[Key, Known] : this->Entries)
    if (Known.HeldUntil && *Known.HeldUntil <= Now)
      Over.push_back(Key);
  for (const std::string &Key : Over)
    this->drop(Key, "did not return after an outage of the store");
}

std::vector<forwarding::SearcherEntry> PublishedState::searchers() const {
  std::vector<forwarding::SearcherEntry> All;
  All.reserve(this->Entries.size());
  for (const auto &[Key, Known] : this->Entries)
    All.push_back(Known.Entry);
  return All;
}

const std::shared_ptr<const forwarding::RoutingTable> &
PublishedState::table() const {
  return this->Table;
}

std::uint64_t PublishedState::revision() const { return this->Known; }

bool PublishedState::knowsRemovalsAfter(std::uint64_t Revision) const {
  return Revision >= this->ForgottenUpTo;
}

std::vector<StoreItem> PublishedState::items() const {
  std::vector<StoreItem> All;
  for (const auto &[Key, Change] : this->Latest)
    if (!Change.IsRemoval)
      All.push_back(Change.Item);
  return All;
}

std::vector<StoreChange>
PublishedState::changesAfter(std::uint64_t Revision) const {
  std::vector<StoreChange> After;
  for (const auto &[Key, Change] : this->Latest)
    if (Change.Item.Revision > Revision)
      After.push_back(Change);
  std::ranges::sort(After, {}, [](const StoreChange &Change) {
    return Change.Item.Revision;
  });
  return After;
}

std::uint64_t PublishedState::changes() const { return this->Changes; }

bool PublishedState::hasSnapshot() const { return this->Complete; }

// Changes may come from the store and from peers, so an older one can follow a
// newer one; it must not bring back what was removed.
bool PublishedState::remember(const StoreChange &Change) {
  const auto [Place, IsNew] = this->Latest.try_emplace(Change.Item.Key, Change);
  if (IsNew) {
    this->forgetOldRemovals();
    return true;
  }
  if (Place->second.Item.Revision >= Change.Item.Revision)
    return false;
  Place->second = Change;
  return true;
}

void PublishedState::forgetOldRemovals() {
  if (this->Latest.size() <= MaxRemembered)
    return;
  std::uint64_t Newest = 0;
  for (const auto &[Key, Change] : this->Latest)
    if (Change.IsRemoval)
      Newest = std::max(Newest, Change.Item.Revision);
  std::erase_if(this->Latest,
                [](const auto &Each) { return Each.second.IsRemoval; });
  this->ForgottenUpTo = std::max(this->ForgottenUpTo, Newest);
}

std::optional<common::MonotonicTime> PublishedState::answeredAt() const {
  return this->AnsweredAt;
}

void PublishedState::apply(const StoreItem &Item) {
  PublishedItem Said = this->Decoder.decode(Item);
  if (!Said.Problem.empty()) {
    this->Log.write(
        logging::LogRecord(common::LogEvent::EntryMalformed)
            .text("key", Item.Key)
            .number("revision", static_cast<std::int64_t>(Item.Revision))
            .text("reason", Said.Problem));
    this->drop(Item.Key, "its entry is malformed");
    return;
  }
  if (Said.Searcher)
    this->takeSearcher(Item, std::move(*Said.Searcher));
  if (Said.Table != nullptr)
    this->takeTable(std::move(Said.Table));
}

void PublishedState::takeSearcher(const StoreItem &Item,
                                  forwarding::SearcherEntry Entry) {
  Listed &Known = this->Entries[Item.Key];
  Known.HeldUntil.reset();
  if (Known.Entry == Entry)
    return;
  Known.Entry = std::move(Entry);
  ++this->Changes;
  this->Log.write(
      logging::LogRecord(common::LogEvent::SearcherListed)
          .text("searcher", Known.Entry.Id.Value)
          .text("service", Known.Entry.Service.Value)
          .text("address", Known.Entry.Where.toString())
          .flag("draining", Known.Entry.IsDraining)
          .number("revision", static_cast<std::int64_t>(Item.Revision)));
}

// Versions never go back, whatever the store or a late answer says.
void PublishedState::takeTable(
    std::shared_ptr<const forwarding::RoutingTable> Newer) {
  if (this->Table != nullptr && Newer->version() <= this->Table->version())
    return;
  this->Table = std::move(Newer);
  ++this->Changes;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationAccepted)
          .number("version", static_cast<std::int64_t>(this->Table->version()))
          .number("routes",
                  static_cast<std::int64_t>(this->Table->routes().size())));
}

// A searcher that said it leaves does not come back under its entry.
void PublishedState::remove(const std::string &Key) {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  Listed &Known = Found->second;
  const bool MayReturn =
      this->Time.monotonicNow() < this->HoldUntil && !Known.Entry.IsDraining;
  if (!MayReturn) {
    this->drop(Key, "its entry was removed");
    return;
  }
  if (!Known.HeldUntil)
    Known.HeldUntil = this->HoldUntil;
}

void PublishedState::drop(const std::string &Key, const char *Reason) {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  this->Log.write(logging::LogRecord(common::LogEvent::SearcherUnlisted)
                      .text("searcher", Found->second.Entry.Id.Value)
                      .text("service", Found->second.Entry.Service.Value)
                      .text("reason", Reason));
  this->Entries.erase(Found);
  ++this->Changes;
}

} // namespace acaciacross::discovery
