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
