#include "Common/SystemClock.h"
#include "Configuration/EntrySettingsParser.h"
#include "Platform/ConfigurationWatcher.h"
#include "Platform/VmListPoller.h"
#include "UnitTests/Configuration/SampleDocuments.h"
#include "UnitTests/Control/ControlQuestion.h"
#include "UnitTests/Platform/FakePlatform.h"

#include <gtest/gtest.h>

namespace acaciacross::platform {

/// A hang of a test here shows as its timeout.
class PlatformClientTest : public testing::Test {
protected:
  PlatformClientTest() { this->Control.start(); }

  /// Runs Read on the control thread after everything posted so far.
  template <typename Value>
  Value read(std::function<Value(control::ControlState &)> Read) {
    return control::askControl<Value>(this->Control, Read);
  }

  std::uint64_t inEffect() {
    return this->read<std::uint64_t>([](control::ControlState &State) {
      return State.configuration().highestRevision().Value;
    });
  }

  static std::string page(std::uint64_t Number) {
    std::string Text;
    for (const char Letter : configuration::SampleClasses) {
      if (Letter == '"')
        Text += '\\';
      Text += Letter == '\n' ? std::string("\\n") : std::string(1, Letter);
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

// Each call must go on where the last page ended, or changes would be lost or
// sent again; after a refusal it must go on as well.
TEST_F(PlatformClientTest, WatcherAppliesPagesAndGoesOnAfterRefusals) {
  this->Platform.reply(200, page(4));
  this->Platform.reply(429, "");
  this->Platform.reply(200, "not JSON");
  this->Platform.reply(200, page(9));
  this->Watcher.start();
  this->Watcher.resume();
  EXPECT_EQ(this->Platform.waitForRequests(2), "4");
  EXPECT_EQ(this->Platform.waitForRequests(5), "9");
  EXPECT_EQ(this->inEffect(), 9U);
}

// A VM that is no elected reader must give up its watch, which the service
// counts, and read only when asked to.
TEST_F(PlatformClientTest, PausedWatcherGivesUpItsCallAndReadsOnlyOnce) {
  this->Watcher.start();
  this->Watcher.resume();
  this->Platform.waitForRequests(1);
  this->Watcher.pause();
  this->Watcher.readOnce();
  EXPECT_EQ(this->Platform.waitForRequests(2), "0");
}

// A call may last 4 s; a planned stop must not wait for it.
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

TEST_F(PlatformClientTest, PollerPostsTheVmList) {
  this->Platform.reply(500, "");
  this->Platform.reply(200,
                       R"({"vms":[{"id":"entry-2","kind":"entry",)"
                       R"("host":"127.0.0.1","port":7202,"state":"live"}]})");
  VmListPoller Poller(this->Platform.address(), this->Control,
                      common::SeededRandom(2), std::chrono::milliseconds(50));
  Poller.start();
  this->Platform.waitForRequests(3);
  EXPECT_EQ(this->read<std::size_t>([](control::ControlState &State) {
    return State.vmList().size();
  }),
            1U);
}

} // namespace acaciacross::platform
