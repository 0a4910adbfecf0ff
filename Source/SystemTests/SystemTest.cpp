#include "SystemTests/SystemTest.h"

namespace acaciacross::systemtests {

void SystemTest::deploy(const DeploymentPlan &Plan) {
  const auto *Info = testing::UnitTest::GetInstance()->current_test_info();
  this->ActiveDeployment = std::make_unique<Deployment>(
      Plan, std::string(Info->test_suite_name()) + '.' + Info->name());
}

void SystemTest::warmUp() {
  constexpr int QueriesPerVm = 5;
  for (EntryVm &Vm : this->ActiveDeployment->vms())
    for (int I = 0; I < QueriesPerVm; ++I) {
      const QueryAnswer Answer = Vm.query("warm-up", "plots");
      ASSERT_EQ(Answer.Outcome, "complete") << Answer.Reply.Body;
    }
}

} // namespace acaciacross::systemtests
