#ifndef ACACIACROSS_SYSTEMTESTS_DOCUMENTTEXT_H
#define ACACIACROSS_SYSTEMTESTS_DOCUMENTTEXT_H

#include "SystemTests/DeploymentPlan.h"
#include "SystemTests/EntryVm.h"
#include "SystemTests/SearcherHandle.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// Generates the documents and settings files of a deployment.
class DocumentText {
public:
  /// LatencyTarget can identify the document in a test.
  static std::string
  classes(const DeploymentPlan &Plan,
          std::chrono::milliseconds LatencyTarget = std::chrono::seconds(1));

  static std::string service(const DeploymentPlan &Plan,
                             const std::string &Service,
                             const std::vector<SearcherHandle> &Searchers);

  static std::string searcherSettings(const DeploymentPlan &Plan,
                                      const SearcherHandle &Searcher);

  static std::string entrySettings(const EntryVm &Vm, std::size_t FailureDomain,
                                   const std::string &Configuration,
                                   const std::string &VmList);

  static std::string vmList(const std::vector<EntryVm> &Vms,
                            const std::vector<SearcherHandle> &Searchers);

  static constexpr std::uint32_t KeysPerShard = 1'000;
};

} // namespace acaciacross::systemtests

#endif
