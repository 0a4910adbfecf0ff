#ifndef ACACIACROSS_SYSTEMTESTS_DEPLOYMENT_H
#define ACACIACROSS_SYSTEMTESTS_DEPLOYMENT_H

#include "SystemTests/DeploymentPlan.h"
#include "SystemTests/EntryVm.h"
#include "SystemTests/FreePorts.h"
#include "SystemTests/RecordedExecution.h"
#include "SystemTests/SearcherHandle.h"

#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// A deployment of real processes on free loopback ports. The destructor stops
/// all of them. Settings and logs are written to a folder of the build.
class Deployment {
public:
  /// \throws std::runtime_error when the deployment is not ready in time.
  Deployment(const DeploymentPlan &Plan, const std::string &Name);

  const DeploymentPlan &plan() const;
  std::vector<EntryVm> &vms();
  std::vector<SearcherHandle> &searchers();
  std::vector<SearcherHandle *> replicas(const std::string &Service,
                                         std::uint32_t Shard);

  /// Adds an entry VM to the VM list and starts it. Does not wait until it is
  /// ready.
  EntryVm &addVm();

  /// Whether each of the VMs is up and its fleet consists of exactly these VMs.
  static bool isFleetComplete(const std::vector<const EntryVm *> &Vms);

  /// Returns the executions of one request, or of all if RequestId is empty, on
  /// the searchers that have not been stopped.
  std::vector<RecordedExecution>
  record(const std::string &RequestId = "") const;

  /// Publishes a document and returns its revision.
  std::uint64_t publish(const std::string &Key, const std::string &Text) const;
  /// Parameters are those of the platform's control call, such as
  /// "config=down".
  void setPlatformMode(const std::string &Parameters) const;
  void publishVmList() const;

private:
  void addSearchers(const std::string &Service, std::uint32_t Shards,
                    std::uint32_t Replicas);
  void startPlatform();
  std::string write(const std::string &File, const std::string &Text) const;

  DeploymentPlan Plan;
  std::string Folder;
  FreePorts Ports;
  std::string PlatformAddress;
  std::string UnusedAddress;
  std::unique_ptr<ProcessHandle> Platform;
  std::vector<SearcherHandle> Searchers;
  std::vector<EntryVm> Vms;
};

} // namespace acaciacross::systemtests

#endif
