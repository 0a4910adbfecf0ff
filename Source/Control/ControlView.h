#ifndef ACACIACROSS_CONTROL_CONTROLVIEW_H
#define ACACIACROSS_CONTROL_CONTROLVIEW_H

#include "Common/Time.h"
#include "Configuration/ClassDefinition.h"
#include "Configuration/DeploymentBudget.h"
#include "Membership/ServingState.h"
#include "Query/ServiceView.h"
#include "Routing/AddressCandidate.h"

#include <map>
#include <memory>
#include <vector>

namespace acaciacross::control {

/// Immutable copy of the parts of the control state that traffic threads and
/// the front end need.
struct ControlView {
  common::MonotonicTime PublishedAt;
  /// Highest configuration revision in effect.
  common::Revision RevisionInEffect;
  membership::ServingState State = membership::ServingState::Joining;

  configuration::DeploymentBudget Budget;
  std::map<common::ClassName, configuration::ClassDefinition> Classes;
  std::map<common::ServiceName, std::shared_ptr<const query::ServiceView>>
      Services;

  /// Entry VMs for address answers: this VM first, then the peers with evidence
  /// that they are serving.
  std::vector<routing::AddressCandidate> EntryVms;
};

} // namespace acaciacross::control

#endif
