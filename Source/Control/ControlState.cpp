#include "Control/ControlState.h"

#include "Common/Log.h"

#include "Control/UpstreamEventText.h"
#include "Upstreams/FailureEjectionPolicy.h"
#include <set>

namespace acaciacross::control {

namespace {

std::string describeChange(const configuration::ConfigurationChange &Change,
                           const std::string &Cause) {
  return "key=" + Change.Key +
         " revision=" + std::to_string(Change.Revision.Value) + " cause=\"" +
         Cause + "\"";
}

} // namespace

ControlState::ControlState(configuration::EntrySettings OwnSettings,
                           const common::Clock &TimeSource)
    : Settings(std::move(OwnSettings)), Time(TimeSource),
      Upstreams(std::make_unique<upstreams::FailureEjectionPolicy>()),
      ViewBuilder(this->Settings.Zone, this->Searchers, this->Upstreams),
      JoinDecision(TimeSource.monotonicNow()) {}

const configuration::EntrySettings &ControlState::settings() const {
  return this->Settings;
}

const configuration::ConfigurationStore &ControlState::configuration() const {
  return this->Store;
}

AuditTrail &ControlState::audit() { return this->Trail; }

void ControlState::recordAudit(std::string_view Cause, std::string_view Subject,
                               std::string_view Text) {
  this->Trail.append(this->Time.wallNow(), Cause, Subject, Text);
}

configuration::ApplyResult ControlState::applyConfiguration(
    const configuration::ConfigurationChange &Change,
    const std::string &Cause) {
  const auto OldRevisions = this->Store.revisions();
  configuration::ApplyResult Result = this->Store.apply(Change);
  const std::string RevisionText =
      "revision " + std::to_string(Change.Revision.Value) + " ";
  switch (Result.Outcome) {
  case configuration::ApplyOutcome::Accepted:
    this->recordAudit(Cause, Change.Key, RevisionText + "accepted");
    common::logEvent(common::LogEvent::ConfigurationAccepted,
                     describeChange(Change, Cause));
    this->installDocuments();
    break;
  case configuration::ApplyOutcome::Invalid:
    this->recordAudit(Cause, Change.Key,
                      RevisionText + "refused: " + Result.Message);
    common::logWarning(common::LogEvent::ConfigurationRefused,
                       describeChange(Change, Cause) + " reason=\"" +
                           Result.Message + "\"");
    break;
  case configuration::ApplyOutcome::Stale:
    // Copies of the revision in effect arrive often and are not audited. An
    // older revision is a change of another operator.
    if (Change.Revision < OldRevisions.at(Change.Key))
      this->recordAudit(Cause, Change.Key,
                        RevisionText + "superseded: " + Result.Message);
    break;
  }
  return Result;
}

void ControlState::recordServiceRevision(common::Revision ServiceRevision) {
  this->ServiceAnsweredAt = this->Time.monotonicNow();
  const common::Revision OwnRevision = this->Store.highestRevision();
  const bool IsStale = ServiceRevision < OwnRevision;
  if (IsStale && !this->IsServiceStale) {
    this->recordAudit("service", "configuration",
                      "service is stale at revision " +
                          std::to_string(ServiceRevision.Value));
    common::logWarning(common::LogEvent::ConfigurationServiceStale,
                       "service=" + std::to_string(ServiceRevision.Value) +
                           " in_effect=" + std::to_string(OwnRevision.Value));
  }
  this->IsServiceStale = IsStale;
}

std::optional<common::MonotonicTime> ControlState::lastServiceAnswerAt() const {
  return this->ServiceAnsweredAt;
}

void ControlState::recordPeerAnswer() {
  this->JoinDecision.recordPeerAnswer();
  this->refreshServingState();
}

membership::ServingState ControlState::servingState() const {
  return this->State;
}

void ControlState::startLeaving() {
  if (this->State == membership::ServingState::Leaving)
    return;
  this->State = membership::ServingState::Leaving;
  this->HasChanged = true;
  this->recordAudit("operator", this->Settings.Vm.Value, "leaving");
}

void ControlState::setPeers(std::vector<routing::AddressCandidate> Serving) {
  this->Peers = std::move(Serving);
  this->HasChanged = true;
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

void ControlState::discardEvidence() {
  this->setPeers({});
  this->Upstreams.discardEvidence(this->Time.monotonicNow());
  this->takeUpstreamChanges();
}

void ControlState::applyVmList(std::vector<VmListEntry> Entries) {
  std::map<common::SearcherIndex, bool> ListedSearchers;
  for (const VmListEntry &Entry : Entries) {
    if (Entry.Kind != VmKind::Upstream)
      continue;
    const auto Index = this->Searchers.find(common::SearcherId(Entry.Id));
    if (Index)
      ListedSearchers.emplace(*Index, Entry.State == VmState::Leaving);
  }
  this->Upstreams.applyVmList(ListedSearchers, this->Time.monotonicNow());
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

bool ControlState::hasChanged() const { return this->HasChanged; }

std::shared_ptr<const ControlView> ControlState::buildView() {
  auto View = std::make_shared<ControlView>();
  const common::MonotonicTime Now = this->Time.monotonicNow();
  View->PublishedAt = Now;
  View->RevisionInEffect = this->Store.highestRevision();
  View->State = this->State;
  if (const auto Document = this->Store.classes()) {
    View->Budget = Document->Budget;
    for (const configuration::ClassDefinition &Class : Document->Classes)
      View->Classes.emplace(Class.Name, Class);
  }
  View->Services = this->ServiceViews;
  View->EntryVms.push_back({this->Settings.Vm, this->Settings.CallerAddress,
                            this->Settings.FailureDomain, Now});
  View->EntryVms.insert(View->EntryVms.end(), this->Peers.begin(),
                        this->Peers.end());
  this->HasChanged = false;
  return View;
}

void ControlState::installDocuments() {
  for (const common::ServiceName &Name :
       this->ViewBuilder.setDocuments(this->Store))
    this->installService(*this->Store.services().at(Name));
  this->removeUnlistedSearchers();
  this->takeUpstreamChanges();
  this->refreshServingState();
  this->HasChanged = true;
}

void ControlState::installService(
    const configuration::ServiceDocument &Document) {
  std::vector<upstreams::TrackedSearcher> TrackedSearchers;
  for (const configuration::SearcherDefinition &Searcher : Document.Searchers)
    TrackedSearchers.push_back(
        {this->Searchers.assign(Searcher.Id), Searcher.Id, Searcher.Endpoint});
  std::vector<upstreams::ReplicaGroup> Groups;
  for (const configuration::PartitionMap &Map : Document.Snapshots)
    for (const configuration::ShardDefinition &Shard : Map.Shards) {
      upstreams::ReplicaGroup Group;
      for (const common::SearcherId &Replica : Shard.Replicas)
        Group.push_back(this->Searchers.assign(Replica));
      Groups.push_back(std::move(Group));
    }
  this->Upstreams.setService(Document.Name, TrackedSearchers, Groups,
                             this->Time.monotonicNow());
  this->reportSearchersWithoutQuota(Document);
}

// A replaced searcher gets a new id, so the table would grow for as long as the
// process runs. Up to half of the table may be obsolete, so that not every
// document requires a pass over all searchers.
void ControlState::removeUnlistedSearchers() {
  std::size_t Count = 0;
  for (const auto &[Name, Document] : this->Store.services())
    Count += Document->Searchers.size();
  if (this->Searchers.size() <= 2 * Count)
    return;
  std::set<common::SearcherId> ListedIds;
  for (const auto &[Name, Document] : this->Store.services())
    for (const configuration::SearcherDefinition &Searcher :
         Document->Searchers)
      ListedIds.insert(Searcher.Id);
  this->Searchers.retain(ListedIds);
}

void ControlState::reportSearchersWithoutQuota(
    const configuration::ServiceDocument &Document) {
  if (this->Store.classes() == nullptr)
    return;
  std::size_t Count = 0;
  for (const configuration::SearcherDefinition &Searcher : Document.Searchers)
    if (this->ViewBuilder.connectionQuota(Searcher) == 0)
      ++Count;
  if (Count == 0)
    return;
  const std::string Text =
      std::to_string(Count) +
      " searchers accept fewer connections than max_entry_vms";
  this->recordAudit("configuration", Document.Name.Value, Text);
  common::logWarning(common::LogEvent::ConnectionQuotaZero,
                     "service=" + Document.Name.Value +
                         " searchers=" + std::to_string(Count));
}

void ControlState::refreshServingState() {
  if (this->State != membership::ServingState::Joining)
    return;
  const bool HasDocuments =
      this->Store.classes() != nullptr && !this->Store.services().empty();
  if (!this->JoinDecision.canServe(HasDocuments, this->Time.monotonicNow()))
    return;
  this->State = membership::ServingState::Serving;
  this->HasChanged = true;
  this->recordAudit("join", this->Settings.Vm.Value, "serving");
}

void ControlState::takeUpstreamChanges() {
  for (const upstreams::UpstreamEvent &Event : this->Upstreams.takeEvents()) {
    const UpstreamEventText Text(Event);
    this->recordAudit(Text.cause(), Event.Id.Value, Text.text());
    if (Text.isWarning())
      common::logWarning(Text.logEvent(), Text.details());
    else
      common::logEvent(Text.logEvent(), Text.details());
  }
  for (const common::ServiceName &Service :
       this->Upstreams.takeChangedServices()) {
    this->HasChanged = true;
    if (auto View = this->ViewBuilder.build(Service))
      this->ServiceViews[Service] = std::move(View);
  }
}

} // namespace acaciacross::control
