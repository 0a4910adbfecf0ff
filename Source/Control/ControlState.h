#ifndef ACACIACROSS_CONTROL_CONTROLSTATE_H
#define ACACIACROSS_CONTROL_CONTROLSTATE_H

#include "Common/Clock.h"
#include "Configuration/ConfigurationStore.h"
#include "Configuration/EntrySettings.h"
#include "Control/AuditTrail.h"
#include "Control/ControlView.h"
#include "Control/JoinPolicy.h"
#include "Control/SearcherTable.h"
#include "Control/ServiceViewBuilder.h"
#include "Control/UpstreamEvidence.h"
#include "Control/VmListEntry.h"
#include "Upstreams/PolledPage.h"
#include "Upstreams/UpstreamTracker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::control {

/// All control state of this VM. Must be used on the control thread only.
class ControlState {
public:
  /// TimeSource must outlive the state.
  ControlState(configuration::EntrySettings OwnSettings,
               const common::Clock &TimeSource);
  ControlState(const ControlState &) = delete;
  ControlState &operator=(const ControlState &) = delete;

  const configuration::EntrySettings &settings() const;
  const configuration::ConfigurationStore &configuration() const;
  AuditTrail &audit();
  /// Appends an entry with the current time to the audit trail.
  void recordAudit(std::string_view Cause, std::string_view Subject,
                   std::string_view Text);

  /// Applies a change received from Cause, which is "service" or "peer <id>".
  configuration::ApplyResult
  applyConfiguration(const configuration::ConfigurationChange &Change,
                     const std::string &Cause);
  /// Records that the configuration service answered with this as its highest
  /// revision.
  void recordServiceRevision(common::Revision ServiceRevision);
  /// When the configuration service last answered; empty if it never did.
  std::optional<common::MonotonicTime> lastServiceAnswerAt() const;
  /// Records that a peer answered a pull of the configuration and that its
  /// changes have been applied.
  void recordPeerAnswer();

  membership::ServingState servingState() const;
  /// Starts the planned stop, which cannot be reverted.
  void startLeaving();

  /// Sets the serving peers, which may be listed in address answers.
  void setPeers(std::vector<routing::AddressCandidate> Serving);

  void applyEvidence(const std::vector<UpstreamEvidence> &Batch);
  void applyHealth(common::SearcherIndex Searcher,
                   const upstreams::HealthPage &Page);
  void applyLoad(common::SearcherIndex Searcher,
                 const upstreams::LoadPage &Page);
  /// Ignores pages of searchers whose address has changed since the poll.
  void applyPages(const std::vector<upstreams::PolledPage> &Batch);
  /// Called at the end of a pause of this VM; discards all earlier evidence of
  /// peers and upstreams.
  void discardEvidence();
  void applyVmList(std::vector<VmListEntry> Entries);
  /// Entry VMs and upstreams of the last VM list; empty before the first one.
  const std::vector<VmListEntry> &vmList() const;
  /// Applies a notice of a peer that a searcher is leaving. Age is the time
  /// since the first signal of the drain.
  void applyDrainNotice(const common::SearcherId &Searcher,
                        std::chrono::milliseconds Age);
  /// At most MaxCount notices of leaving searchers for peers, newest first.
  std::vector<membership::DrainNotice> drainNotices(std::size_t MaxCount) const;

  /// Applies the changes that result from the passage of time.
  void tick();

  /// Whether the state has changed since the last call of buildView.
  bool hasChanged() const;
  std::shared_ptr<const ControlView> buildView();

private:
  void installDocuments();
  void installService(const configuration::ServiceDocument &Document);
  void removeUnlistedSearchers();
  void refreshServingState();
  void takeUpstreamChanges();
  void
  reportSearchersWithoutQuota(const configuration::ServiceDocument &Document);

  configuration::EntrySettings Settings;
  const common::Clock &Time;
  AuditTrail Trail;

  configuration::ConfigurationStore Store;
  SearcherTable Searchers;
  upstreams::UpstreamTracker Upstreams;
  ServiceViewBuilder ViewBuilder;
  std::map<common::ServiceName, std::shared_ptr<const query::ServiceView>>
      ServiceViews;

  std::optional<common::MonotonicTime> ServiceAnsweredAt;
  bool IsServiceStale = false;

  JoinPolicy JoinDecision;
  membership::ServingState State = membership::ServingState::Joining;
  std::vector<routing::AddressCandidate> Peers;
  std::vector<VmListEntry> ListedVms;
  bool HasChanged = true;
};

} // namespace acaciacross::control

#endif
