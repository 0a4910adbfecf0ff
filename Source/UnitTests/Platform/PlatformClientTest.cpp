#include "Common/SystemClock.h"
#include "Configuration/EntrySettingsParser.h"
#include "Platform/ConfigurationWatcher.h"
#include "Platform/VmListPoller.h"
#include "UnitTests/Configuration/SampleDocuments.h"
#include "UnitTests/Control/RunOnControlThread.h"
#include "UnitTests/Platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace acaciacross::platform {

/// A request that never arrives makes a test here wait until its timeout.
class PlatformClientTest : public testing::Test {
protected:
  PlatformClientTest() { this->Control.start(); }

  /// Runs Read on the control thread after everything posted so far.
  template <typename Value>
  Value readState(std::function<Value(control::ControlState &)> Read) {
    return control::runOnControlThread<Value>(this->Control, Read);
  }

  std::uint64_t highestRevision() {
    return this->readState<std::uint64_t>([](control::ControlState &State) {
      return State.configuration().highestRevision().Value;
    });
  }

  static std::string makePage(std::uint64_t Number) {
    std::string Text;
    for (const char Character : configuration::SampleClasses) {
      if (Character == '"')
        Text += '\\';
      Text +=
          Character == '\n' ? std::string("\\n") : std::string(1, Character);
    }
    const std::string Revision = std::to_string(Number);
    return "{\"revision\":" + Revision +
           ",\"complete\":false,\"changes\":[{\"key\":\"classes\","
           "\"revision\":" +
           Revision + ",\"text\":\"" + Text + "\"}]}";
  }

  common::SystemClock Time;
  control::ControlThread Control{
      std::make_unique<control::ControlState>(
          configuration::EntrySettingsParser::parse(
              configuration::SampleSettings, "entry.toml"),
          Time),
      Time};
  FakePlatform Platform;
  ConfigurationWatcher Watcher{Platform.address(), Control,
                               common::SeededRandom(1)};
};

// Each call must continue after the revision of the last page, also after
// failed calls. Otherwise changes would be lost or applied twice.
TEST_F(PlatformClientTest, WatcherAppliesPagesAndContinuesAfterFailures) {
  this->Platform.addReply(200, makePage(4));
  this->Platform.addReply(429, "");
  this->Platform.addReply(200, "not JSON");
  this->Platform.addReply(200, makePage(9));
  this->Watcher.start();
  this->Watcher.resume();
  EXPECT_EQ(this->Platform.waitForRequests(2), "4");
  EXPECT_EQ(this->Platform.waitForRequests(5), "9");
  EXPECT_EQ(this->highestRevision(), 9U);
}

// The service counts open watches. A VM that is not an elected reader must
// cancel its watch and must read only on request.
TEST_F(PlatformClientTest, PausedWatcherCancelsItsCallAndReadsOnlyOnce) {
  this->Watcher.start();
  this->Watcher.resume();
  this->Platform.waitForRequests(1);
  this->Watcher.pause();
  this->Watcher.readOnce();
  EXPECT_EQ(this->Platform.waitForRequests(2), "0");
}

// A call can last 4 s. A planned stop must cancel it instead of waiting for it.
TEST_F(PlatformClientTest, StopInterruptsWaitingCalls) {
  VmListPoller Poller(this->Platform.address(), this->Control,
                      common::SeededRandom(2));
  this->Watcher.start();
  this->Watcher.resume();
  Poller.start();
  this->Platform.waitForRequests(2);
  const auto Before = this->Time.monotonicNow();
  this->Watcher.stop();
  Poller.stop();
  EXPECT_LT(this->Time.monotonicNow() - Before, std::chrono::seconds(1));
}

// A failed read must not end the polling.
TEST_F(PlatformClientTest, PollerPostsTheVmList) {
  this->Platform.addReply(500, "");
  this->Platform.addReply(
      200, R"({"vms":[{"id":"entry-2","kind":"entry",)"
           R"("host":"127.0.0.1","port":7202,"state":"live"}]})");
  VmListPoller Poller(this->Platform.address(), this->Control,
                      common::SeededRandom(2), std::chrono::milliseconds(50));
  Poller.start();
  this->Platform.waitForRequests(3);
  EXPECT_EQ(this->readState<std::size_t>([](control::ControlState &State) {
    return State.vmList().size();
  }),
            1U);
}

} // namespace acaciacross::platform
