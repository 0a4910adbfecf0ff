#include "Configuration/EntrySettingsParser.h"

#include "UnitTests/Configuration/ParserError.h"

#include <gtest/gtest.h>

namespace acaciacross::configuration {

class EntrySettingsParserTest : public testing::Test {
protected:
  std::string errorAfterReplacing(const std::string &From,
                                  const std::string &To) {
    return parseErrorAfterReplacing<EntrySettingsParser>(
        SampleSettings, "entry.toml", common::ResultCode::SettingInvalid, From,
        To);
  }
};

// Guards against a setting that is not read or is read from the wrong key.
TEST_F(EntrySettingsParserTest, ParseOfSampleGivesEveryField) {
  const EntrySettings Settings =
      EntrySettingsParser::parse(SampleSettings, "entry.toml");
  EXPECT_EQ(Settings.Vm.Value, "entry-1");
  EXPECT_EQ(Settings.Zone, "lake-1");
  EXPECT_EQ(Settings.FailureDomain, "lake-1-rack-a");
  EXPECT_EQ(Settings.CallerAddress.Port, 7101);
  EXPECT_EQ(Settings.PeerAddress.Port, 7201);
  EXPECT_EQ(Settings.ConfigurationServiceAddress.Port, 7001);
  EXPECT_EQ(Settings.VmListAddress.Port, 7001);
  EXPECT_EQ(Settings.SeedAddresses.size(), 1U);
}

// Guards against an error message from which operators cannot locate the fault.
TEST_F(EntrySettingsParserTest, ErrorNamesFileLineKeyValueAndAllowedValues) {
  EXPECT_EQ(this->errorAfterReplacing("127.0.0.1:7101", "lake:7101"),
            "entry.toml:7: listen.callers = 'lake:7101': an IPv4 address and a "
            "port, \"a.b.c.d:port\"");
}

// Guards against starting with misread settings, with which a VM would announce
// addresses that no other process can reach.
TEST_F(EntrySettingsParserTest, ParseOfUnusableSettingsIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("127.0.0.1:7101", "0.0.0.0:7101"), "");
  EXPECT_NE(this->errorAfterReplacing("127.0.0.1:7201", "127.0.0.1:7101"), "");
  EXPECT_NE(
      this->errorAfterReplacing("[\"127.0.0.1:7202\"]",
                                "[\"127.0.0.1:7202\", \"127.0.0.1:7202\"]"),
      "");
  EXPECT_NE(this->errorAfterReplacing("[\"127.0.0.1:7202\"]", "[7202]"), "");
  EXPECT_NE(this->errorAfterReplacing("zone = \"lake-1\"", ""), "");
  EXPECT_NE(this->errorAfterReplacing("[vm]", "[vm]\nweight = 3"), "");
}

} // namespace acaciacross::configuration
