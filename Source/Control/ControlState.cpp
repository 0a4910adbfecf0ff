#include "Control/ControlState.h"

#include "Common/Log.h"

#include "Control/UpstreamEventText.h"
#include "Upstreams/FailureEjectionPolicy.h"
#include <set>

namespace acaciacross::control {

namespace {

std::string describe(const configuration::ConfigurationChange &Change,
                     const std::string &Cause) {
  return "key=" + Change.Key +
         " revision=" + std::to_string(Change.Number.Value) + " cause=\"" +
         Cause + "\"";
}

} // namespace

ControlState::ControlState(configuration::EntrySettings OwnSettings,
                           const common::Clock &TimeSource)
    : Settings(std::move(OwnSettings)), Time(TimeSource),
      Upstreams(std::make_unique<upstreams::FailureEjectionPolicy>()),
      Builder(this->Settings.Zone, this->Searchers, this->Upstreams),
      Joining(TimeSource.monotonicNow()) {}

const configuration::EntrySettings &ControlState::settings() const {
  return this->Settings;
}

const configuration::ConfigurationStore &ControlState::configuration() const {
  return this->Store;
}

AuditTrail &ControlState::audit() { return this->Trail; }

void ControlState::note(std::string_view Cause, std::string_view Subject,
                        std::string_view Text) {
  this->Trail.append(this->Time.wallNow(), Cause, Subject, Text);
}

configuration::ApplyResult ControlState::applyConfiguration(
    const configuration::ConfigurationChange &Change,
    const std::string &Cause) {
  const auto Before = this->Store.revisions();
  configuration::ApplyResult Result = this->Store.apply(Change);
  const std::string Number =
      "revision " + std::to_string(Change.Number.Value) + " ";
  switch (Result.Outcome) {
  case configuration::ApplyOutcome::Accepted:
    this->note(Cause, Change.Key, Number + "accepted");
    common::logEvent(common::LogEvent::ConfigurationAccepted,
                     describe(Change, Cause));
    this->installDocuments();
    break;
  case configuration::ApplyOutcome::Invalid:
    this->note(Cause, Change.Key, Number + "refused: " + Result.Message);
    common::logWarning(common::LogEvent::ConfigurationRefused,
                       describe(Change, Cause) + " reason=\"" + Result.Message +
                           "\"");
    break;
  case configuration::ApplyOutcome::Stale:
    // Copies of what is in effect come often; an older revision is another
    // operator's change.
    if (Change.Number < Before.at(Change.Key))
      this->note(Cause, Change.Key, Number + "superseded: " + Result.Message);
    break;
  }
  return Result;
}

void ControlState::noteServiceRevision(common::Revision At) {
  this->ServiceAnsweredAt = this->Time.monotonicNow();
  const common::Revision Here = this->Store.highestRevision();
  const bool IsStale = At < Here;
  if (IsStale && !this->ServiceIsStale) {
    this->note("service", "configuration",
               "service is stale at revision " + std::to_string(At.Value));
    common::logWarning(common::LogEvent::ConfigurationServiceStale,
                       "service=" + std::to_string(At.Value) +
                           " in_effect=" + std::to_string(Here.Value));
  }
  this->ServiceIsStale = IsStale;
}

std::optional<common::MonotonicTime> ControlState::lastServiceAnswer() const {
  return this->ServiceAnsweredAt;
}

void ControlState::notePeerAnswer() {
  this->Joining.notePeerAnswer();
  this->refreshServingState();
}

membership::ServingState ControlState::servingState() const {
  return this->State;
}

void ControlState::startLeaving() {
  if (this->State == membership::ServingState::Leaving)
    return;
  this->State = membership::ServingState::Leaving;
  this->Changed = true;
  this->note("operator", this->Settings.Vm.Value, "leaving");
}

void ControlState::setPeers(std::vector<routing::AddressCandidate> Serving) {
  this->Peers = std::move(Serving);
  this->Changed = true;
}

void ControlState::applyEvidence(const std::vector<UpstreamEvidence> &Batch) {
  this->Upstreams.applyEvidence(Batch, this->Time.monotonicNow());
  this->takeUpstreamChanges();
}

void ControlState::applyHealth(common::SearcherIndex Searcher,
                               const upstreams::HealthPage &Page) {
  this->Upstreams.applyHealth(Searcher, Page, this->Time.monotonicNow());
  this->takeUpstreamChanges();
}

void ControlState::applyLoad(common::SearcherIndex Searcher,
                             const upstreams::LoadPage &Page) {
  this->Upstreams.applyLoad(Searcher, Page, this->Time.monotonicNow());
  this->takeUpstreamChanges();
}

void ControlState::applyPages(const std::vector<upstreams::PolledPage> &Batch) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  for (const upstreams::PolledPage &Polled : Batch)
    this->Upstreams.applyPage(Polled, Now);
  this->takeUpstreamChanges();
}

void ControlState::endPause() {
  this->setPeers({});
  this->Upstreams.discardEvidence(this->Time.monotonicNow());
  this->takeUpstreamChanges();
}

void ControlState::applyVmList(std::vector<VmListEntry> Entries) {
  std::map<common::SearcherIndex, bool> Listed;
  for (const VmListEntry &Entry : Entries) {
    if (Entry.Kind != VmKind::Upstream)
      continue;
    const auto Index = this->Searchers.find(common::SearcherId(Entry.Id));
    if (Index)
      Listed.emplace(*Index, Entry.State == VmState::Leaving);
  }
  this->Upstreams.applyVmList(Listed, this->Time.monotonicNow());
  this->ListedVms = std::move(Entries);
  this->takeUpstreamChanges();
}

const std::vector<VmListEntry> &ControlState::vmList() const {
  return this->ListedVms;
}

void ControlState::applyDrainNotice(const common::SearcherId &Searcher,
                                    std::chrono::milliseconds Age) {
  const auto Index = this->Searchers.find(Searcher);
  if (!Index)
    return;
  this->Upstreams.applyDrainNotice(*Index, Age, this->Time.monotonicNow());
  this->takeUpstreamChanges();
}

std::vector<membership::DrainNotice>
ControlState::drainNotices(std::size_t MaxCount) const {
  return this->Upstreams.drainNotices(this->Time.monotonicNow(), MaxCount);
}

void ControlState::tick() {
  this->Upstreams.tick(this->Time.monotonicNow());
  this->takeUpstreamChanges();
  this->refreshServingState();
}

bool ControlState::isChanged() const { return this->Changed; }

std::shared_ptr<const ControlView> ControlState::buildView() {
  auto View = std::make_shared<ControlView>();
  const common::MonotonicTime Now = this->Time.monotonicNow();
  View->PublishedAt = Now;
  View->InEffect = this->Store.highestRevision();
  View->State = this->State;
  if (const auto Document = this->Store.classes()) {
    View->Budget = Document->Budget;
    for (const configuration::ClassDefinition &Class : Document->Classes)
      View->Classes.emplace(Class.Name, Class);
  }
  View->Services = this->ServiceViews;
  View->EntryVms.push_back({this->Settings.Vm, this->Settings.Callers,
                            this->Settings.FailureDomain, Now});
  View->EntryVms.insert(View->EntryVms.end(), this->Peers.begin(),
                        this->Peers.end());
  this->Changed = false;
  return View;
}

void ControlState::installDocuments() {
  for (const common::ServiceName &Name :
       this->Builder.setDocuments(this->Store))
    this->installService(*this->Store.services().at(Name));
  this->dropGoneSearchers();
  this->takeUpstreamChanges();
  this->refreshServingState();
  this->Changed = true;
}

void ControlState::installService(
    const configuration::ServiceDocument &Document) {
  std::vector<upstreams::TrackedSearcher> Tracked;
  for (const configuration::SearcherDefinition &Searcher : Document.Searchers)
    Tracked.push_back(
        {this->Searchers.assign(Searcher.Id), Searcher.Id, Searcher.Endpoint});
  std::vector<upstreams::ReplicaGroup> Groups;
  for (const configuration::PartitionMap &Map : Document.Snapshots)
    for (const configuration::ShardDefinition &Shard : Map.Shards) {
      upstreams::ReplicaGroup Group;
      for (const common::SearcherId &Replica : Shard.Replicas)
        Group.push_back(this->Searchers.assign(Replica));
      Groups.push_back(std::move(Group));
    }
  this->Upstreams.setService(Document.Name, Tracked, Groups,
                             this->Time.monotonicNow());
  this->noteOutOfReach(Document);
}

// Searchers get new ids with each replacement, for as long as this process
// runs. Half of the table may be old, so that not every document costs a pass
// over all searchers.
void ControlState::dropGoneSearchers() {
  std::size_t Count = 0;
  for (const auto &[Name, Document] : this->Store.services())
    Count += Document->Searchers.size();
  if (this->Searchers.size() <= 2 * Count)
    return;
  std::set<common::SearcherId> Kept;
  for (const auto &[Name, Document] : this->Store.services())
    for (const configuration::SearcherDefinition &Searcher :
         Document->Searchers)
      Kept.insert(Searcher.Id);
  this->Searchers.retain(Kept);
}

void ControlState::noteOutOfReach(
    const configuration::ServiceDocument &Document) {
  if (this->Store.classes() == nullptr)
    return;
  std::size_t Count = 0;
  for (const configuration::SearcherDefinition &Searcher : Document.Searchers)
    if (this->Builder.connectionQuota(Searcher) == 0)
      ++Count;
  if (Count == 0)
    return;
  const std::string Text =
      std::to_string(Count) +
      " searchers accept fewer connections than max_entry_vms";
  this->note("configuration", Document.Name.Value, Text);
  common::logWarning(common::LogEvent::ConnectionQuotaZero,
                     "service=" + Document.Name.Value +
                         " searchers=" + std::to_string(Count));
}

void ControlState::refreshServingState() {
  if (this->State != membership::ServingState::Joining)
    return;
  const bool HasDocuments =
      this->Store.classes() != nullptr && !this->Store.services().empty();
  if (!this->Joining.mayServe(HasDocuments, this->Time.monotonicNow()))
    return;
  this->State = membership::ServingState::Serving;
  this->Changed = true;
  this->note("join", this->Settings.Vm.Value, "serving");
}

void ControlState::takeUpstreamChanges() {
  for (const upstreams::UpstreamEvent &Event : this->Upstreams.takeEvents()) {
    const UpstreamEventText Text(Event);
    this->note(Text.cause(), Event.Id.Value, Text.text());
    if (Text.isWarning())
      common::logWarning(Text.logEvent(), Text.details());
    else
      common::logEvent(Text.logEvent(), Text.details());
  }
  for (const common::ServiceName &Service :
       this->Upstreams.takeChangedServices()) {
    this->Changed = true;
    if (auto View = this->Builder.build(Service))
      this->ServiceViews[Service] = std::move(View);
  }
}

} // namespace acaciacross::control
