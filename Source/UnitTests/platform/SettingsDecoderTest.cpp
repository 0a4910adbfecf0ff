#include "platform/SettingsDecoder.h"

#include "Common/Error.h"

#include <gtest/gtest.h>

namespace acaciacross::adapter {

class SettingsDecoderTest : public testing::Test {
protected:
  static std::string replaceFirst(std::string Text, const std::string &From,
                                  const std::string &To) {
    return Text.replace(Text.find(From), From.size(), To);
  }

  static std::string errorOf(const std::string &Text) {
    try {
      SettingsDecoder::decode(Text, 9464);
    } catch (const common::Error &Error) {
      EXPECT_EQ(Error.code(), common::ResultCode::SettingInvalid);
      return Error.what();
    }
    return "";
  }

  const std::string Text = R"(node = "front-1"
unknown = [1, 2]
ip = "10.1.0.39"
zone = "z1"
internal_ports = [7740, 7755]
seeds = ["10.1.0.39:8224", "10.2.0.33:8224"]
[listen]
front = "10.1.0.39:8226"
ready = "10.1.0.39:8227"
directory = "10.1.0.39:8225"
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 58
[platform]
address = "10.200.1.7:8229"
)";
};

TEST_F(SettingsDecoderTest, UnknownFieldsAreIgnored) {
  const node::NodeSettings Settings = SettingsDecoder::decode(this->Text, 9464);
  EXPECT_EQ(Settings.Vm.Value, "front-1");
  EXPECT_EQ(Settings.CallerAddress.Port, 8226);
  EXPECT_EQ(Settings.MetricsAddress.toString(), "10.1.0.39:9464");
  EXPECT_EQ(Settings.RetryBudget.FixedPerWindow, 58.0);
  EXPECT_EQ(Settings.RetryBudget.Window, std::chrono::milliseconds(10'000));
  EXPECT_EQ(Settings.StopLimit, std::chrono::milliseconds(6'000));
}

TEST_F(SettingsDecoderTest, ZonesNameTheirRegions) {
  EXPECT_TRUE(SettingsDecoder::decode(this->Text, 9464).RegionByDomain.empty());
  const std::map<std::string, std::string> Expected{{"z1", "r1"},
                                                    {"z-2", "r2"}};
  EXPECT_EQ(SettingsDecoder::decode(
                this->Text + "[zones]\nz1 = \"r1\"\nz-2 = \"r2\"\n", 9464)
                .RegionByDomain,
            Expected);
  EXPECT_NE(errorOf(this->Text + "[zones]\nz1 = 7\n").find("zones.z1"),
            std::string::npos);
  EXPECT_NE(errorOf("zones = 1\n" + this->Text).find("zones"),
            std::string::npos);
}

// All changes arrive in one stream, so the smallest of their bounds counts.
TEST_F(SettingsDecoderTest, BoundOfEvacuationsLimitsTheDelayOfChanges) {
  const auto DelayWith = [this](const std::string &Bounds) {
    return SettingsDecoder::decode(replaceFirst(this->Text, "grace_s = 6",
                                                "grace_s = 6\n" + Bounds),
                                   9464)
        .MaxChangeDelay;
  };
  EXPECT_EQ(DelayWith("config_apply_ms = 5000\ndrain_ms = 4000"),
            std::chrono::milliseconds(4'000));
  EXPECT_EQ(DelayWith("config_apply_ms = 5000\ndrain_ms = 4000\n"
                      "evacuate_ms = 2500"),
            std::chrono::milliseconds(2'500));
}

TEST_F(SettingsDecoderTest, BoundsOfColdSearchersAreRead) {
  const node::NodeSettings Settings = SettingsDecoder::decode(
      replaceFirst(this->Text, "grace_s = 6",
                   "grace_s = 6\ncold_overage = 1.5\ncold_slack = 5"),
      9464);
  EXPECT_EQ(Settings.ColdStart.Overage, 1.5);
  EXPECT_EQ(Settings.ColdStart.Slack, 5.0);
  EXPECT_TRUE(Settings.Problems.empty());
}

// A VM can do without them and must not fail to start.
TEST_F(SettingsDecoderTest, InvalidBoundsOfColdSearchersAreLeftOut) {
  for (const char *Line :
       {"cold_overage = -1", "cold_overage = nan", "cold_overage = 1e300",
        "cold_slack = \"many\"", "cold_slack = inf", "cold_slack = -0.1"}) {
    const node::NodeSettings Settings = SettingsDecoder::decode(
        replaceFirst(this->Text, "grace_s = 6",
                     std::string("grace_s = 6\n") + Line),
        9464);
    EXPECT_EQ(Settings.ColdStart.Overage, 1.0) << Line;
    EXPECT_EQ(Settings.ColdStart.Slack, 0.0) << Line;
    ASSERT_EQ(Settings.Problems.size(), 1U) << Line;
    EXPECT_NE(Settings.Problems.front().find("allowed"), std::string::npos);
  }
}

// Guards against connections of callers that take the descriptors which the
// platform reserves for files.
TEST_F(SettingsDecoderTest, SocketsAreDescriptorsWithoutThoseForFiles) {
  EXPECT_FALSE(SettingsDecoder::decode(this->Text, 9464).MaxSockets);
  const std::string Limits = this->Text + "[limits]\nmax_fds = 4100\n";
  EXPECT_EQ(SettingsDecoder::decode(Limits, 9464).MaxSockets, 3'900U);
}

// The settings list seeds with a TCP port that this program does not open, so a
// probe to that port would get no answer. All VMs share the peer port.
TEST_F(SettingsDecoderTest, SeedsUseThePeerPort) {
  const node::NodeSettings Settings = SettingsDecoder::decode(this->Text, 9464);
  ASSERT_EQ(Settings.SeedAddresses.size(), 2U);
  EXPECT_EQ(Settings.SeedAddresses[1].toString(), "10.2.0.33:7740");
}

TEST_F(SettingsDecoderTest, ErrorNamesKeyValueAndAllowedValues) {
  const std::string Message =
      errorOf(replaceFirst(this->Text, "10.1.0.39:8226", "here"));
  EXPECT_NE(Message.find("listen.front"), std::string::npos);
  EXPECT_NE(Message.find("here"), std::string::npos);
  EXPECT_NE(Message.find("allowed"), std::string::npos);
  EXPECT_NE(errorOf(replaceFirst(this->Text, "grace_s = 6", "grace_s = \"x\""))
                .find("bounds.grace_s"),
            std::string::npos);
  EXPECT_NE(errorOf("not toml = = 1").find("line 1"), std::string::npos);
}

} // namespace acaciacross::adapter
