#include "SystemTests/DocumentText.h"
#include "SystemTests/HttpCaller.h"
#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <algorithm>
#include <thread>

namespace acaciacross::systemtests {

class ConfigurationTest : public SystemTest {
protected:
  // The latency target of the class "plots" identifies a document.
  std::uint64_t publishLatencyTarget(int Milliseconds) {
    return this->ActiveDeployment->publish(
        "classes",
        DocumentText::classes(this->ActiveDeployment->plan(),
                              std::chrono::milliseconds(Milliseconds)));
  }

  // Returns 0 if the status page of the VM does not show the class.
  static int latencyTargetAt(const EntryVm &Vm) {
    const json::JsonNode Classes = Vm.status()["classes"];
    for (std::size_t I = 0; I < Classes.size(); ++I)
      if (Classes.element(I)["name"].string() == "plots")
        return static_cast<int>(
            Classes.element(I)["target"]["latency_ms"].number());
    return 0;
  }

  bool isInEffectEverywhere(int Milliseconds) {
    return std::ranges::all_of(
        this->ActiveDeployment->vms(),
        [&](const EntryVm &Vm) { return latencyTargetAt(Vm) == Milliseconds; });
  }

  static bool hasRefused(const EntryVm &Vm, std::uint64_t Revision) {
    const json::JsonNode Entries = json::JsonNode::parse(
        HttpCaller::call("GET", Vm.CallerAddress + "/v1/audit?after=0")
            .Body)["entries"];
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      const std::string Text = Entries.element(I)["text"].string();
      if (Entries.element(I)["subject"].string() == "classes" &&
          Text.find("revision " + std::to_string(Revision)) !=
              std::string::npos &&
          Text.find("refused") != std::string::npos)
        return true;
    }
    return false;
  }

  // The bound for the two-year size also applies to today's deployment.
  static constexpr std::chrono::seconds FleetApplyBound{11};
  static constexpr std::chrono::seconds ApplyTimeout{5};
};

// Guards against a document that reaches only some VMs, and against an invalid
// document that replaces a valid one on any VM.
TEST_F(ConfigurationTest, ValidDocumentIsTakenAndInvalidRefusedOnAllVms) {
  this->deploy();
  this->publishLatencyTarget(701);
  EXPECT_TRUE(
      waitUntil(ApplyTimeout, [&] { return isInEffectEverywhere(701); }));

  const std::uint64_t Invalid = this->ActiveDeployment->publish(
      "classes", "[budget]\nmax_entry_vms = 0\n");
  EXPECT_TRUE(waitUntil(ApplyTimeout, [&] {
    return std::ranges::any_of(
        this->ActiveDeployment->vms(),
        [&](const EntryVm &Vm) { return hasRefused(Vm, Invalid); });
  }));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_TRUE(isInEffectEverywhere(701));
  this->warmUp();

  this->publishLatencyTarget(703);
  EXPECT_TRUE(
      waitUntil(ApplyTimeout, [&] { return isInEffectEverywhere(703); }));
}

// Guards against a restarted VM that starts with the older revision of a stale
// service, and against a running VM that returns to that revision.
TEST_F(ConfigurationTest, RestartedVmKeepsNewerRevisionWhenServiceIsStale) {
  this->deploy();
  const std::uint64_t Older = this->publishLatencyTarget(801);
  ASSERT_TRUE(
      waitUntil(ApplyTimeout, [&] { return isInEffectEverywhere(801); }));
  this->publishLatencyTarget(802);
  ASSERT_TRUE(
      waitUntil(ApplyTimeout, [&] { return isInEffectEverywhere(802); }));

  this->ActiveDeployment->setPlatformMode("config=down");
  this->vm(2).Process->kill();
  this->vm(2).start();
  this->ActiveDeployment->setPlatformMode("config=stale&revision=" +
                                          std::to_string(Older));
  std::set<int> SeenTargets;
  ASSERT_TRUE(waitUntil(FleetApplyBound, [&] {
    const bool IsServing = this->vm(2).status()["state"].string() == "serving";
    return IsServing && latencyTargetAt(this->vm(2)) != 0;
  }));
  waitUntil(ApplyTimeout, [&] {
    for (const EntryVm &Vm : this->ActiveDeployment->vms())
      SeenTargets.insert(latencyTargetAt(Vm));
    return false;
  });
  EXPECT_EQ(SeenTargets, std::set<int>{802});

  this->ActiveDeployment->setPlatformMode("config=normal");
  this->publishLatencyTarget(803);
  EXPECT_TRUE(
      waitUntil(FleetApplyBound, [&] { return isInEffectEverywhere(803); }));
}

// Guards against documents that spread only through the service. VMs that
// cannot reach it get their documents from peers.
TEST_F(ConfigurationTest, DocumentOfOneReaderIsInEffectEverywhereWithin11s) {
  DeploymentPlan Plan;
  Plan.OnlyFirstReachesConfiguration = true;
  this->deploy(Plan);
  for (const int Target : {901, 902}) {
    this->publishLatencyTarget(Target);
    EXPECT_TRUE(waitUntil(FleetApplyBound,
                          [&] { return isInEffectEverywhere(Target); }));
  }
}

} // namespace acaciacross::systemtests
