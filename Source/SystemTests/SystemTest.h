#ifndef ACACIACROSS_SYSTEMTESTS_SYSTEMTEST_H
#define ACACIACROSS_SYSTEMTESTS_SYSTEMTEST_H

#include "SystemTests/Deployment.h"

#include <gtest/gtest.h>

#include <memory>

namespace acaciacross::systemtests {

/// Base fixture of the tests with real processes.
class SystemTest : public testing::Test {
protected:
  void deploy(const DeploymentPlan &Plan = {});

  EntryVm &vm(std::size_t Index) {
    return this->ActiveDeployment->vms().at(Index);
  }

  /// Gets complete answers from every VM, so that connections and evidence
  /// exist before a fault is injected.
  void warmUp();

  std::unique_ptr<Deployment> ActiveDeployment;
};

} // namespace acaciacross::systemtests

#endif
