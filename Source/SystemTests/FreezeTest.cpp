#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <csignal>
#include <thread>

namespace acaciacross::systemtests {

class FreezeTest : public SystemTest {
protected:
  static constexpr std::chrono::seconds AnswerBound{2};
};

// Guards against address answers that list a frozen VM, and against a resumed
// VM that uses its outdated view of the fleet.
TEST_F(FreezeTest, FrozenVmLeavesAddressAnswersAndResumesWithFreshEvidence) {
  this->deploy();
  const std::string Frozen = this->vm(2).CallerAddress;
  const std::string Lost = this->vm(1).CallerAddress;
  ASSERT_TRUE(this->vm(2).addresses().contains(Lost));
  this->vm(2).Process->signal(SIGSTOP);
  std::this_thread::sleep_for(AnswerBound);
  EXPECT_FALSE(this->vm(0).addresses().contains(Frozen));
  EXPECT_FALSE(this->vm(1).addresses().contains(Frozen));

  // The frozen VM cannot notice this loss.
  this->vm(1).Process->kill();
  std::this_thread::sleep_for(AnswerBound);
  this->vm(2).Process->signal(SIGCONT);
  for (int I = 0; I < 50; ++I) {
    const auto Addresses = this->vm(2).addresses();
    EXPECT_FALSE(Addresses.contains(Lost)) << "answer " << I;
    EXPECT_TRUE(Addresses.contains(Frozen)) << "answer " << I;
  }
  EXPECT_EQ(this->vm(2).query("resumed", "plots").Outcome, "complete");

  const std::set<std::string> Both = {this->vm(0).CallerAddress, Frozen};
  EXPECT_TRUE(waitUntil(std::chrono::seconds(5), [&] {
    return this->vm(0).addresses() == Both && this->vm(2).addresses() == Both;
  }));
  this->vm(1).start();
  EXPECT_TRUE(waitUntil(std::chrono::seconds(10),
                        [&] { return this->vm(2).addresses().size() == 3; }));
}

} // namespace acaciacross::systemtests
