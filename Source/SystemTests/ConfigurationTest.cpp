#include "SystemTests/DocumentText.h"
#include "SystemTests/HttpCaller.h"
#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <algorithm>
#include <thread>

namespace acaciacross::systemtests {

class ConfigurationTest : public SystemTest {
protected:
  // The latency target of the class "plots" tells the documents apart.
  std::uint64_t publishTarget(int Milliseconds) {
    return this->Running->publish(
        "classes",
        DocumentText::classes(this->Running->plan(),
                              std::chrono::milliseconds(Milliseconds)));
  }

  // 0 when the VM does not tell.
  static int targetAt(const EntryVm &Vm) {
    const json::JsonNode Classes = Vm.status()["classes"];
    for (std::size_t I = 0; I < Classes.size(); ++I)
      if (Classes.element(I)["name"].string() == "plots")
        return static_cast<int>(
            Classes.element(I)["target"]["latency_ms"].number());
    return 0;
  }

  bool isInEffectEverywhere(int Milliseconds) {
    return std::ranges::all_of(this->Running->vms(), [&](const EntryVm &Vm) {
      return targetAt(Vm) == Milliseconds;
    });
  }

  static bool hasRefused(const EntryVm &Vm, std::uint64_t Revision) {
    const json::JsonNode Entries = json::JsonNode::parse(
        HttpCaller::call("GET", Vm.Callers + "/v1/audit?after=0")
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

  // The bound of the two-year size, which today's deployment has to keep too.
  static constexpr std::chrono::seconds EverywhereBound{11};
  static constexpr std::chrono::seconds Seconds{5};
};

// Guards against a document that reaches only some VMs, and against an invalid
// one that takes the place of a valid one on any of them.
TEST_F(ConfigurationTest, ValidDocumentIsTakenAndInvalidRefusedOnAllVms) {
  this->deploy();
  this->publishTarget(701);
  EXPECT_TRUE(waitUntil(Seconds, [&] { return isInEffectEverywhere(701); }));

  const std::uint64_t Invalid =
      this->Running->publish("classes", "[budget]\nmax_entry_vms = 0\n");
  EXPECT_TRUE(waitUntil(Seconds, [&] {
    return std::ranges::any_of(this->Running->vms(), [&](const EntryVm &Vm) {
      return hasRefused(Vm, Invalid);
    });
  }));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_TRUE(isInEffectEverywhere(701));
  this->warmUp();

  this->publishTarget(703);
  EXPECT_TRUE(waitUntil(Seconds, [&] { return isInEffectEverywhere(703); }));
}

// Guards against a VM without memory that starts on what a stale service says,
// and against one that goes back to it.
TEST_F(ConfigurationTest, RestartedVmKeepsNewerRevisionWhenServiceIsStale) {
  this->deploy();
  const std::uint64_t Older = this->publishTarget(801);
  ASSERT_TRUE(waitUntil(Seconds, [&] { return isInEffectEverywhere(801); }));
  this->publishTarget(802);
  ASSERT_TRUE(waitUntil(Seconds, [&] { return isInEffectEverywhere(802); }));

  this->Running->setPlatformMode("config=down");
  this->vm(2).Process->kill();
  this->vm(2).start();
  this->Running->setPlatformMode("config=stale&revision=" +
                                 std::to_string(Older));
  std::set<int> Seen;
  ASSERT_TRUE(waitUntil(EverywhereBound, [&] {
    const bool IsServing = this->vm(2).status()["state"].string() == "serving";
    return IsServing && targetAt(this->vm(2)) != 0;
  }));
  waitUntil(Seconds, [&] {
    for (const EntryVm &Vm : this->Running->vms())
      Seen.insert(targetAt(Vm));
    return false;
  });
  EXPECT_EQ(Seen, std::set<int>{802});

  this->Running->setPlatformMode("config=normal");
  this->publishTarget(803);
  EXPECT_TRUE(
      waitUntil(EverywhereBound, [&] { return isInEffectEverywhere(803); }));
}

// Guards against documents that spread only through the service: VMs that
// cannot reach it start from and follow their peers.
TEST_F(ConfigurationTest, DocumentOfOneReaderIsInEffectEverywhereWithin11s) {
  DeploymentPlan Plan;
  Plan.OnlyFirstReachesConfiguration = true;
  this->deploy(Plan);
  for (const int Target : {901, 902}) {
    this->publishTarget(Target);
    EXPECT_TRUE(waitUntil(EverywhereBound,
                          [&] { return isInEffectEverywhere(Target); }));
  }
}

} // namespace acaciacross::systemtests
