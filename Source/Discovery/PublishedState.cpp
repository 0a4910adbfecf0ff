#include "Discovery/PublishedState.h"

#include <algorithm>
#include <utility>

namespace acaciacross::discovery {

namespace {

// A live searcher registers again within 2 s after the store becomes available;
// the rest is the delay until its entry arrives here.
constexpr std::chrono::milliseconds ReregistrationTime{2'200};
// Several times the number of keys of a deployment. Removed keys are kept for
// peers that have not received their removal.
constexpr std::size_t MaxRecordedChanges = 4'000;
// What peers are told as the value of a key that says everything itself. Peers
// take an empty value for a removal.
constexpr const char *ValueOfBareKey = "{}";

} // namespace

PublishedState::PublishedState(const ItemDecoder &Decoder,
                               const common::Clock &Time,
                               logging::EventLog &Log)
    : Decoder(Decoder), Time(Time), Log(Log), Evacuated(Log) {}

void PublishedState::onSnapshot(const std::vector<StoreItem> &Items,
                                common::StorePosition Position) {
  const bool IsNewEra = Position.Era > this->KnownPosition.Era;
  this->beginEra(Position);
  std::set<std::string> Present;
  for (const StoreItem &Item : Items) {
    Present.insert(Item.Key);
    this->applyItem(Item);
  }
  std::vector<std::string> Missing;
  for (const auto &[Key, Change] : this->LatestChanges)
    if (!Change.IsRemoval && !Present.contains(Key) &&
        Change.Item.Position <= Position)
      Missing.push_back(Key);
  for (const std::string &Key : Missing) {
    // The operator writes it again; until then peers that start need it.
    if (IsNewEra && Key == this->TableKey)
      this->holdKnown(Key, Position);
    else
      this->applyRemoval(Key, Position);
  }
  this->KnownPosition = std::max(this->KnownPosition, Position);
  this->CompleteUpTo = std::max(this->CompleteUpTo, Position);
  // Removals before this revision of keys that were never known here are
  // unknown, so a peer at an older revision needs all items instead of the
  // changes.
  this->RemovalsUnknownUpTo = std::max(this->RemovalsUnknownUpTo, Position);
  this->HasSnapshot = true;
}

void PublishedState::onChanges(const std::vector<StoreChange> &Changes,
                               common::StorePosition Position) {
  if (Position.Era > this->KnownPosition.Era)
    return;
  this->KnownPosition = std::max(this->KnownPosition, Position);
  for (const StoreChange &Change : Changes) {
    if (Change.IsRemoval)
      this->applyRemoval(Change.Item.Key, Change.Item.Position);
    else
      this->applyItem(Change.Item);
  }
  if (this->HasSnapshot)
    this->CompleteUpTo = std::max(this->CompleteUpTo, Position);
}

void PublishedState::onCallFailed(const std::string &Problem,
                                  std::chrono::milliseconds Duration) {
  this->Log.write(logging::LogRecord(common::LogEvent::StoreCallFailed)
                      .text("reason", Problem)
                      .milliseconds("took_ms", Duration));
}

void PublishedState::onUnavailable(const std::string &Problem) {
  this->UnavailableSince = this->Time.monotonicNow();
  this->Log.write(logging::LogRecord(common::LogEvent::StoreUnavailable)
                      .text("reason", Problem)
                      .number("searchers",
                              static_cast<std::int64_t>(this->Entries.size())));
}

void PublishedState::onPeerAnswered(common::MonotonicTime At) {
  if (this->UnavailableSince && At > *this->UnavailableSince)
    this->onAvailable();
}

// A peer may have told of it before this VM's own call was answered. The time
// for searchers to register again is counted once.
void PublishedState::onAvailable() {
  if (!this->UnavailableSince)
    return;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->RetainRemovedUntil = Now + ReregistrationTime;
  for (auto &[Key, Record] : this->Entries)
    if (Record.RetainedUntil == common::MonotonicTime::max())
      Record.RetainedUntil = this->RetainRemovedUntil;
  this->Evacuated.limitHolds(this->RetainRemovedUntil);
  this->Log.write(
      logging::LogRecord(common::LogEvent::StoreAvailable)
          .milliseconds("away_ms", Now - this->UnavailableSince.value_or(Now)));
  this->UnavailableSince.reset();
}

void PublishedState::onHistoryLost() {
  this->Log.write(logging::LogRecord(common::LogEvent::HistoryLost));
}

void PublishedState::onInvalidEra(const std::string &Text) {
  constexpr std::size_t MaxTextBytes = 64;
  this->Log.write(logging::LogRecord(common::LogEvent::StoreEraInvalid)
                      .text("told", Text.substr(0, MaxTextBytes)));
}

// The store was away and has lost its newest entries. Live searchers register
// again, as after an outage.
void PublishedState::beginEra(common::StorePosition Position) {
  if (!this->HasSnapshot || Position.Era <= this->KnownPosition.Era)
    return;
  this->RetainRemovedUntil = std::max(
      this->RetainRemovedUntil, this->Time.monotonicNow() + ReregistrationTime);
  const auto Signed = [](std::uint64_t Number) {
    return static_cast<std::int64_t>(Number);
  };
  this->Log.write(
      logging::LogRecord(common::LogEvent::StoreEraChanged)
          .number("era", Signed(Position.Era))
          .number("revision", Signed(Position.Revision))
          .number("known_era", Signed(this->KnownPosition.Era))
          .number("known_revision", Signed(this->KnownPosition.Revision))
          .number("searchers", Signed(this->Entries.size())));
}

void PublishedState::expire() {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  std::vector<std::string> Expired;
  for (const auto &[Key, Record] : this->Entries)
    if (Record.RetainedUntil && *Record.RetainedUntil <= Now)
      Expired.push_back(Key);
  for (const std::string &Key : Expired)
    this->eraseEntry(Key, "did not return after an outage of the store");
  if (this->Evacuated.expire(Now))
    ++this->ChangeCount;
}

std::vector<forwarding::SearcherEntry> PublishedState::searchers() const {
  std::vector<forwarding::SearcherEntry> Result;
  Result.reserve(this->Entries.size());
  for (const auto &[Key, Record] : this->Entries)
    Result.push_back(Record.Entry);
  return Result;
}

std::set<std::string> PublishedState::evacuatedDomains() const {
  return this->Evacuated.names();
}

const std::shared_ptr<const forwarding::RoutingTable> &
PublishedState::table() const {
  return this->Table;
}

common::MonotonicTime PublishedState::tableAcceptedAt() const {
  return this->TableAcceptedAt;
}

common::StorePosition PublishedState::position() const {
  return this->KnownPosition;
}

bool PublishedState::knowsRemovalsAfter(common::StorePosition Position) const {
  return Position >= this->RemovalsUnknownUpTo;
}

PublishedChanges
PublishedState::changesSince(common::StorePosition Position) const {
  PublishedChanges Result;
  if (!this->HasSnapshot)
    return Result;
  Result.Position = this->KnownPosition;
  // The pages of a read are no snapshot, so a later page may hold items newer
  // than the known revision. They are passed on, since they may replace a
  // change that the peer needs, but do not raise what it knows.
  if (this->knowsRemovalsAfter(Position)) {
    Result.Changes = this->changesAfter(Position);
    return Result;
  }
  Result.IsComplete = true;
  for (StoreItem &Item : this->items())
    Result.Changes.push_back({std::move(Item), false});
  return Result;
}

void PublishedState::apply(PublishedChanges FromPeer) {
  if (FromPeer.IsComplete) {
    std::vector<StoreItem> Items;
    Items.reserve(FromPeer.Changes.size());
    for (StoreChange &Change : FromPeer.Changes)
      Items.push_back(std::move(Change.Item));
    this->onSnapshot(Items, FromPeer.Position);
    return;
  }
  if (!this->HasSnapshot)
    return;
  this->onChanges(FromPeer.Changes, FromPeer.Position);
}

std::vector<StoreItem> PublishedState::items() const {
  std::vector<StoreItem> Result;
  for (const auto &[Key, Change] : this->LatestChanges)
    if (!Change.IsRemoval)
      Result.push_back(Change.Item);
  return Result;
}

std::vector<StoreChange>
PublishedState::changesAfter(common::StorePosition Position) const {
  std::vector<StoreChange> Result;
  for (const auto &[Key, Change] : this->LatestChanges)
    if (Change.Item.Position > Position)
      Result.push_back(Change);
  std::ranges::sort(Result, {}, [](const StoreChange &Change) {
    return Change.Item.Position;
  });
  return Result;
}

std::uint64_t PublishedState::changes() const { return this->ChangeCount; }

bool PublishedState::hasSnapshot() const { return this->HasSnapshot; }

// Changes come from the store and from peers, so an older change can arrive
// after a newer one, and must not restore a removed entry. All changes up to
// CompleteUpTo are known, also those that a complete list does not name: the
// removals.
bool PublishedState::isNewer(const std::string &Key,
                             common::StorePosition Position) const {
  const auto Known = this->LatestChanges.find(Key);
  const bool IsSuperseded = Known != this->LatestChanges.end() &&
                            Position <= Known->second.Item.Position;
  return !IsSuperseded && Position > this->CompleteUpTo;
}

// An item of a newer era may be a copy from before what is known. The order in
// which its writer wrote tells; the version of a table never goes back.
bool PublishedState::isOutdated(const StoreItem &Item,
                                const PublishedItem &Decoded) const {
  const auto Known = this->LatestChanges.find(Item.Key);
  if (Decoded.Table != nullptr)
    return Item.Key == this->TableKey && Known != this->LatestChanges.end() &&
           !Known->second.IsRemoval &&
           Decoded.Table->version() < this->Table->version();
  return Decoded.Searcher &&
         this->EntryOrder.isOutdated(Item.Key, SearcherReport::of(Decoded),
                                     Item.Position.Era);
}

void PublishedState::holdKnown(const std::string &Key,
                               common::StorePosition Position) {
  const auto Known = this->LatestChanges.find(Key);
  if (Known == this->LatestChanges.end())
    this->recordChange({{Key, "", Position}, true});
  else
    Known->second.Item.Position = Position;
}

void PublishedState::recordChange(StoreChange Change) {
  const auto [It, IsNew] =
      this->LatestChanges.insert_or_assign(Change.Item.Key, Change);
  if (IsNew)
    this->pruneRemovals();
}

void PublishedState::pruneRemovals() {
  if (this->LatestChanges.size() <= MaxRecordedChanges)
    return;
  common::StorePosition Newest;
  for (const auto &[Key, Change] : this->LatestChanges)
    if (Change.IsRemoval)
      Newest = std::max(Newest, Change.Item.Position);
  std::erase_if(this->LatestChanges, [this](const auto &Entry) {
    if (Entry.second.IsRemoval)
      this->EntryOrder.forget(Entry.first);
    return Entry.second.IsRemoval;
  });
  this->RemovalsUnknownUpTo = std::max(this->RemovalsUnknownUpTo, Newest);
}

void PublishedState::applyRemoval(const std::string &Key,
                                  common::StorePosition Position) {
  if (!this->Decoder.isUsed(Key) || !this->isNewer(Key, Position))
    return;
  // A list of a newer era leaves out also what was lost. The entry may be
  // written again as it was.
  const auto Known = this->LatestChanges.find(Key);
  if (Known == this->LatestChanges.end() ||
      Known->second.Item.Position.Era == Position.Era)
    this->EntryOrder.recordRemoval(Key, Position.Era);
  this->recordChange({{Key, "", Position}, true});
  this->Problems.erase(Key);
  this->removeEntry(Key);
}

void PublishedState::applyItem(const StoreItem &Item) {
  if (!this->Decoder.isUsed(Item.Key)) {
    this->logProblem(Item, this->Decoder.decode(Item).Problem);
    return;
  }
  if (!this->isNewer(Item.Key, Item.Position))
    return;
  PublishedItem Decoded = this->Decoder.decode(Item);
  if (this->isOutdated(Item, Decoded)) {
    this->holdKnown(Item.Key, Item.Position);
    return;
  }
  if (!Decoded.Problem.empty()) {
    this->applyMalformed(Item, Decoded.Problem);
    return;
  }
  const bool IsBareKey = !Decoded.EvacuatedDomain.empty();
  this->recordChange(
      {{Item.Key, IsBareKey ? ValueOfBareKey : Item.Value, Item.Position},
       false});
  this->Problems.erase(Item.Key);
  this->logLeftOut(Item, Decoded.LeftOut);
  if (Decoded.Searcher) {
    this->EntryOrder.record(Item.Key, SearcherReport::of(Decoded),
                            Item.Position.Era);
    this->updateSearcher(Item, std::move(*Decoded.Searcher));
  }
  if (Decoded.Table != nullptr)
    this->updateTable(Item, std::move(Decoded.Table));
  if (IsBareKey && this->Evacuated.add(Item.Key, Decoded.EvacuatedDomain,
                                       this->Time.monotonicNow()))
    ++this->ChangeCount;
}

// Peers are told of a removal, so that a value that no VM can use goes no
// further.
void PublishedState::applyMalformed(const StoreItem &Item,
                                    const std::string &Problem) {
  this->recordChange({{Item.Key, "", Item.Position}, true});
  this->EntryOrder.recordRemoval(Item.Key, Item.Position.Era);
  this->eraseEntry(Item.Key, "its entry is malformed");
  this->logProblem(Item, Problem);
}

void PublishedState::logProblem(const StoreItem &Item,
                                const std::string &Problem) {
  if (Problem.empty())
    return;
  const auto Logged = this->Problems.find(Item.Key);
  const bool IsKnown = Logged != this->Problems.end();
  if (IsKnown ? Logged->second == Problem
              : this->Problems.size() >= MaxRecordedChanges)
    return;
  this->Problems.insert_or_assign(Item.Key, Problem);
  this->Log.write(
      logging::LogRecord(common::LogEvent::EntryMalformed)
          .text("key", Item.Key)
          .number("era", static_cast<std::int64_t>(Item.Position.Era))
          .number("revision", static_cast<std::int64_t>(Item.Position.Revision))
          .text("reason", Problem));
}

void PublishedState::logLeftOut(const StoreItem &Item,
                                const std::vector<std::string> &LeftOut) {
  constexpr std::size_t MaxLines = 8;
  for (std::size_t I = 0; I < std::min(MaxLines, LeftOut.size()); ++I)
    this->Log.write(
        logging::LogRecord(common::LogEvent::EntryMalformed)
            .text("key", Item.Key)
            .number("era", static_cast<std::int64_t>(Item.Position.Era))
            .number("revision",
                    static_cast<std::int64_t>(Item.Position.Revision))
            .text("reason", LeftOut[I])
            .number("left_out", static_cast<std::int64_t>(LeftOut.size())));
}

void PublishedState::updateSearcher(const StoreItem &Item,
                                    forwarding::SearcherEntry Entry) {
  SearcherRecord &Record = this->Entries[Item.Key];
  Record.RetainedUntil.reset();
  if (Record.Entry == Entry)
    return;
  Record.Entry = std::move(Entry);
  ++this->ChangeCount;
  this->Log.write(
      logging::LogRecord(common::LogEvent::SearcherListed)
          .text("searcher", Record.Entry.Id.Value)
          .text("service", Record.Entry.Service.Value)
          .text("address", Record.Entry.Endpoint.toString())
          .flag("draining", Record.Entry.IsDraining)
          .number("era", static_cast<std::int64_t>(Item.Position.Era))
          .number("revision",
                  static_cast<std::int64_t>(Item.Position.Revision)));
}

// The version never decreases, even if the store or a late answer has an older
// one.
void PublishedState::updateTable(
    const StoreItem &Item,
    std::shared_ptr<const forwarding::RoutingTable> Newer) {
  if (this->Table != nullptr && Newer->version() <= this->Table->version())
    return;
  this->Table = std::move(Newer);
  this->TableKey = Item.Key;
  this->TableAcceptedAt = this->Time.monotonicNow();
  ++this->ChangeCount;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationAccepted)
          .number("version", static_cast<std::int64_t>(this->Table->version()))
          .number("era", static_cast<std::int64_t>(Item.Position.Era))
          .number("revision", static_cast<std::int64_t>(Item.Position.Revision))
          .number("routes",
                  static_cast<std::int64_t>(this->Table->routes().size())));
}

// The entry of a draining searcher is not retained, because the searcher does
// not register again.
void PublishedState::removeEntry(const std::string &Key) {
  const std::optional<common::MonotonicTime> RetainedUntil =
      this->retentionEnd();
  if (this->Evacuated.remove(Key, RetainedUntil, this->Time.monotonicNow()))
    ++this->ChangeCount;
  const auto It = this->Entries.find(Key);
  if (It == this->Entries.end())
    return;
  SearcherRecord &Record = It->second;
  if (!RetainedUntil || Record.Entry.IsDraining) {
    this->eraseEntry(Key, "its entry was removed");
    return;
  }
  if (!Record.RetainedUntil)
    Record.RetainedUntil = RetainedUntil;
}

// During an outage a peer may pass on removals before this VM hears that the
// store is back.
std::optional<common::MonotonicTime> PublishedState::retentionEnd() const {
  if (this->UnavailableSince)
    return common::MonotonicTime::max();
  if (this->Time.monotonicNow() < this->RetainRemovedUntil)
    return this->RetainRemovedUntil;
  return std::nullopt;
}

void PublishedState::eraseEntry(const std::string &Key, const char *Reason) {
  const auto It = this->Entries.find(Key);
  if (It == this->Entries.end())
    return;
  this->Log.write(logging::LogRecord(common::LogEvent::SearcherUnlisted)
                      .text("searcher", It->second.Entry.Id.Value)
                      .text("service", It->second.Entry.Service.Value)
                      .text("reason", Reason));
  this->Entries.erase(It);
  ++this->ChangeCount;
}

} // namespace acaciacross::discovery
