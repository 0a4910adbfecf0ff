#ifndef ACACIACROSS_NODE_TRAFFICTHREAD_H
#define ACACIACROSS_NODE_TRAFFICTHREAD_H

#include "Common/Clock.h"
#include "Common/RegionMap.h"
#include "Common/SeededRandom.h"
#include "Fleet/FleetView.h"
#include "Forwarding/AdmissionChain.h"
#include "Forwarding/LatencyTargetPartialAnswerPolicy.h"
#include "Forwarding/LeastDelaySelector.h"
#include "Forwarding/LoadAdmission.h"
#include "Forwarding/ReachabilityAdmission.h"
#include "Forwarding/ServiceRegistry.h"
#include "Forwarding/StopAdmission.h"
#include "Forwarding/TailHedgePolicy.h"
#include "Gateway/CallerAllowance.h"
#include "Gateway/ClientGuard.h"
#include "Gateway/DescriptorShares.h"
#include "Gateway/ForwardingHandler.h"
#include "Gateway/Listener.h"
#include "Gateway/MemoryShares.h"
#include "Gateway/PageAllowance.h"
#include "Gateway/PageHandler.h"
#include "Gateway/UpstreamSender.h"
#include "Membership/StopSchedule.h"
#include "Node/ColdSearcherLog.h"
#include "Node/MetricsSource.h"
#include "Node/NodeEncodings.h"
#include "Node/NodeSettings.h"
#include "Node/TableHandover.h"
#include "Routing/EntryVmSelector.h"
#include "Routing/HomeRegionFilter.h"

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace acaciacross::node {

/// Runs the traffic thread, which owns all connections of callers and searchers
/// and the state of all requests.
class TrafficThread final : private NodeStatus {
public:
  /// Throws common::Error (SocketFailed). All references must outlive this.
  TrafficThread(const NodeSettings &Settings, const NodeEncodings &Encodings,
                const common::Clock &TimeSource, logging::EventLog &Log);
  ~TrafficThread() override;
  TrafficThread(const TrafficThread &) = delete;
  TrafficThread &operator=(const TrafficThread &) = delete;

  void start();
  /// Ends the thread and waits for it.
  void stop();

  // Thread-safe:
  void setPublished(std::vector<forwarding::SearcherEntry> Searchers,
                    std::set<std::string> EvacuatedDomains,
                    std::shared_ptr<const forwarding::RoutingTable> Table,
                    common::MonotonicTime TableAcceptedAt);
  void setFleet(fleet::FleetView View);
  /// From now on this VM is not ready and is not among the addresses given to
  /// callers. Requests are still accepted as far as the schedule allows.
  void beginStop(const membership::StopSchedule &Schedule);
  /// Refuses new connections of callers, and closes the others once their
  /// requests are answered.
  void finishCallers();
  std::size_t activeRequests() const;
  /// Whether finishCallers has closed all connections of callers.
  bool hasFinishedCallers() const;
  /// Total time since the start that the thread has spent waiting for events.
  std::chrono::nanoseconds idleTime() const;

private:
  bool isReady() const override;
  std::vector<routing::AddressCandidate>
  addresses(std::size_t MaxCount, const routing::AddressQuery &Query) override;
  /// Sets HasFinishedCallers once the last connection is closed.
  void awaitCallers();
  /// Updates the service registry with this VM's share of the fleet.
  void updateFleetShare();
  /// Updates the service registry with the members of the fleet.
  void updateFleetMembers();

  const common::Clock &Time;
  common::RegionMap Regions;
  net::EventLoop Loop;
  TableHandover Handover;
  common::SeededRandom Random;
  gateway::MemoryShares Memory;
  gateway::DescriptorShares Descriptors;
  forwarding::ServiceRegistry Registry;
  gateway::UpstreamSender Sender;
  forwarding::LeastDelaySelector Selector;
  forwarding::TailHedgePolicy Hedges;
  forwarding::LatencyTargetPartialAnswerPolicy PartialAnswers;
  forwarding::StopAdmission Stop;
  forwarding::ReachabilityAdmission Reachability;
  forwarding::DemandShares Demand;
  forwarding::LoadAdmission Load;
  forwarding::AdmissionChain Admission;
  forwarding::ForwardingDependencies Dependencies;
  gateway::ForwardingHandler Requests;
  gateway::ClientGuard Clients;
  gateway::CallerAllowance CallerConnections;
  gateway::PageAllowance DirectoryConnections;
  gateway::PageAllowance PageConnections;
  MetricsSource Metrics;
  ColdSearcherLog ColdLog;
  std::unique_ptr<gateway::PageSource> Readiness;
  std::unique_ptr<gateway::PageSource> Directory;
  gateway::PageHandler MetricsPages;
  gateway::PageHandler ReadinessPages;
  gateway::PageHandler DirectoryPages;
  gateway::Listener CallerListener;
  gateway::Listener ReadinessListener;
  gateway::Listener DirectoryListener;
  gateway::Listener MetricsListener;
  routing::EntryVmSelector VmSelector;
  routing::HomeRegionFilter HomeRegions;
  fleet::FleetView Fleet;
  /// Whether the settings name other VMs of the fleet.
  bool HasOtherSeeds = false;
  bool Stopping = false;
  std::atomic<bool> HasFinishedCallers = false;
  std::thread Worker;
};

} // namespace acaciacross::node

#endif
