#ifndef ACACIACROSS_CONTROL_CONTROLSTATE_H
#define ACACIACROSS_CONTROL_CONTROLSTATE_H

#include "Common/Clock.h"
#include "Configuration/ConfigurationStore.h"
#include "Configuration/EntrySettings.h"
#include "Control/AuditTrail.h"
#include "Control/ControlView.h"
#include "Control/JoinRule.h"
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

/// All control state of this VM. Used on the control thread only.
class ControlState {
public:
  /// Time must outlive the state.
  ControlState(configuration::EntrySettings OwnSettings,
               const common::Clock &TimeSource);
  ControlState(const ControlState &) = delete;
  ControlState &operator=(const ControlState &) = delete;

  const configuration::EntrySettings &settings() const;
  const configuration::ConfigurationStore &configuration() const;
  AuditTrail &audit();
  /// Writes an entry with the present time.
  void note(std::string_view Cause, std::string_view Subject,
            std::string_view Text);

  /// Takes a change from Cause, "service" or "peer <id>".
  configuration::ApplyResult
  applyConfiguration(const configuration::ConfigurationChange &Change,
                     const std::string &Cause);
  /// The configuration service answered and is at this revision.
  void noteServiceRevision(common::Revision At);
  /// When it answered last; empty when it never did.
  std::optional<common::MonotonicTime> lastServiceAnswer() const;
  /// A peer answered to a pull of the configuration, and its changes have been
  /// applied.
  void notePeerAnswer();

  membership::ServingState servingState() const;
  /// Starts the planned stop; cannot be taken back.
  void startLeaving();

  /// Peers that address answers may name.
  void setPeers(std::vector<routing::AddressCandidate> Serving);

  void applyEvidence(const std::vector<UpstreamEvidence> &Batch);
  void applyHealth(common::SearcherIndex Searcher,
                   const upstreams::HealthPage &Page);
  void applyLoad(common::SearcherIndex Searcher,
                 const upstreams::LoadPage &Page);
  /// Pages that were polled where the searcher no longer is are passed over.
  void applyPages(const std::vector<upstreams::PolledPage> &Batch);
  /// Drops all evidence, of peers and of upstreams, from before the end of a
  /// pause of this VM, which is now.
  void endPause();
  void applyVmList(std::vector<VmListEntry> Entries);
  /// Entry VMs and upstreams of the last list; empty before the first one.
  const std::vector<VmListEntry> &vmList() const;
  /// A notice of the peer that a searcher is leaving.
  void applyDrainNotice(const common::SearcherId &Searcher,
                        std::chrono::milliseconds Age);
  /// Notices for peers, newest first.
  std::vector<membership::DrainNotice> drainNotices(std::size_t MaxCount) const;

  /// Does what is due by now.
  void tick();

  /// Whether the state differs from that of the last view.
  bool isChanged() const;
  std::shared_ptr<const ControlView> buildView();

private:
  void installDocuments();
  void installService(const configuration::ServiceDocument &Document);
  void dropGoneSearchers();
  void refreshServingState();
  void takeUpstreamChanges();
  void noteOutOfReach(const configuration::ServiceDocument &Document);

  configuration::EntrySettings Settings;
  const common::Clock &Time;
  AuditTrail Trail;

  configuration::ConfigurationStore Store;
  SearcherTable Searchers;
  upstreams::UpstreamTracker Upstreams;
  ServiceViewBuilder Builder;
  std::map<common::ServiceName, std::shared_ptr<const query::ServiceView>>
      ServiceViews;

  std::optional<common::MonotonicTime> ServiceAnsweredAt;
  bool ServiceIsStale = false;

  JoinRule Joining;
  membership::ServingState State = membership::ServingState::Joining;
  std::vector<routing::AddressCandidate> Peers;
  std::vector<VmListEntry> ListedVms;
  bool Changed = true;
};

} // namespace acaciacross::control

#endif
