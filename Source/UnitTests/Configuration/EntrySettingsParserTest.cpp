#include "Configuration/EntrySettingsParser.h"

#include "UnitTests/Configuration/ParserError.h"

#include <gtest/gtest.h>

namespace acaciacross::configuration {

class EntrySettingsParserTest : public testing::Test {
protected:
  std::string errorOf(const std::string &From, const std::string &To) {
    return errorOfChanged<EntrySettingsParser>(
        SampleSettings, "entry.toml", common::ResultCode::SettingInvalid, From,
        To);
  }
};

TEST_F(EntrySettingsParserTest, ParseOfSampleGivesEveryField) {
  const EntrySettings Settings =
      EntrySettingsParser::parse(SampleSettings, "entry.toml");
  EXPECT_EQ(Settings.Vm.Value, "entry-1");
  EXPECT_EQ(Settings.Zone, "lake-1");
  EXPECT_EQ(Settings.FailureDomain, "lake-1-rack-a");
  EXPECT_EQ(Settings.Callers.Port, 7101);
  EXPECT_EQ(Settings.Peers.Port, 7201);
  EXPECT_EQ(Settings.ConfigurationService.Port, 7001);
  EXPECT_EQ(Settings.VmList.Port, 7001);
  EXPECT_EQ(Settings.Seeds.size(), 1U);
}

TEST_F(EntrySettingsParserTest, ErrorSaysFileLineKeyValueAndWhatIsAllowed) {
  EXPECT_EQ(this->errorOf("127.0.0.1:7101", "lake:7101"),
            "entry.toml:7: listen.callers = 'lake:7101': an IPv4 address and a "
            "port, \"a.b.c.d:port\"");
}

// A VM that starts with a misread file would announce addresses that nobody
// can reach.
TEST_F(EntrySettingsParserTest, ParseOfUnusableSettingsIsRefused) {
  EXPECT_NE(this->errorOf("127.0.0.1:7101", "0.0.0.0:7101"), "");
  EXPECT_NE(this->errorOf("127.0.0.1:7201", "127.0.0.1:7101"), "");
  EXPECT_NE(this->errorOf("[\"127.0.0.1:7202\"]",
                          "[\"127.0.0.1:7202\", \"127.0.0.1:7202\"]"),
            "");
  EXPECT_NE(this->errorOf("[\"127.0.0.1:7202\"]", "[7202]"), "");
  EXPECT_NE(this->errorOf("zone = \"lake-1\"", ""), "");
  EXPECT_NE(this->errorOf("[vm]", "[vm]\nweight = 3"), "");
}

} // namespace acaciacross::configuration
