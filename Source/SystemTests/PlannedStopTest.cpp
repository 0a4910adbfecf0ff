#include "SystemTests/CallerPool.h"
#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <csignal>
#include <thread>

namespace acaciacross::systemtests {

class PlannedStopTest : public SystemTest {};

// Guards against a stop that aborts running requests, or that closes the port
// while callers may still use the address.
TEST_F(PlannedStopTest, SigtermUnderLoadCutsNoRequestAndExitsWithZero) {
  DeploymentPlan Plan;
  Plan.ServiceTime = std::chrono::milliseconds(20);
  this->deploy(Plan);
  const std::string Stopped = this->vm(1).CallerAddress;
  CallerPool Pool(12, std::chrono::milliseconds(10), this->vm(0).addresses());
  ASSERT_TRUE(waitUntil(std::chrono::seconds(10), [&] {
    return Pool.counts().QueriesByAddress[Stopped] >= 50;
  }));
  const std::uint64_t Before = Pool.counts().QueriesByAddress[Stopped];
  this->vm(1).Process->signal(SIGTERM);
  EXPECT_EQ(this->vm(1).Process->waitForExit(std::chrono::seconds(15)), 0);
  // Callers continue until no address answer that lists the VM is still valid.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const CallerCounts Counts = Pool.stop();
  EXPECT_TRUE(Counts.Errors.empty()) << Counts.text();
  EXPECT_EQ(Counts.Outcomes.at("complete"), Counts.queries()) << Counts.text();
  // Without requests to the stopping VM the test could not fail.
  EXPECT_GT(Counts.QueriesByAddress.at(Stopped), Before);
  EXPECT_FALSE(this->vm(0).addresses().contains(Stopped));
}

} // namespace acaciacross::systemtests
