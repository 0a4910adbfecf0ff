#ifndef ACACIACROSS_SYSTEMTESTS_SYSTEMTEST_H
#define ACACIACROSS_SYSTEMTESTS_SYSTEMTEST_H

#include "SystemTests/Deployment.h"

#include <gtest/gtest.h>

#include <memory>

namespace acaciacross::systemtests {

/// Base of the tests with real processes.
class SystemTest : public testing::Test {
protected:
  void deploy(const DeploymentPlan &Plan = {});

  EntryVm &vm(std::size_t Index) { return this->Running->vms().at(Index); }

  /// Complete answers from every VM, so that connections and evidence exist
  /// before a fault is set.
  void warmUp();

  std::unique_ptr<Deployment> Running;
};

} // namespace acaciacross::systemtests

#endif
