#include "Programs/OperatorCli/VersionSpread.h"

#include <gtest/gtest.h>

#include <sstream>

namespace acaciacross::operatorcli {

class VersionSpreadTest : public testing::Test {
protected:
  void read(const std::string &Lines) {
    std::istringstream Log(Lines);
    this->Spread.read(Log);
  }

  VersionSpread Spread;
};

// Without the time of each hop a late version cannot be traced to the hop at
// which it waited.
TEST_F(VersionSpreadTest, EachHopOfAVersionIsShownForEachVm) {
  this->read("1 vm-2 {\"time_ms\":1500,\"vm\":\"vm-2\","
             "\"name\":\"ConfigurationPulled\",\"from\":\"10.0.0.1:7\","
             "\"waited_ms\":300,\"took_ms\":20}\n"
             "{\"time_ms\":1500,\"vm\":\"vm-2\","
             "\"name\":\"ConfigurationAccepted\",\"version\":4}\n"
             "{\"time_ms\":1700,\"vm\":\"vm-2\",\"name\":\"TableInUse\","
             "\"version\":4,\"queued_ms\":200}\n");
  this->read("{\"time_ms\":1000,\"vm\":\"vm-1\",\"name\":\"StoreAnswered\","
             "\"call\":\"watch\",\"took_ms\":700,\"queued_ms\":5}\n"
             "{\"time_ms\":1000,\"vm\":\"vm-1\","
             "\"name\":\"ConfigurationAccepted\",\"version\":4}\n"
             "{\"time_ms\":9000,\"vm\":\"vm-1\",\"name\":\"TableReleased\","
             "\"version\":4,\"held_ms\":80}\n");
  EXPECT_EQ(this->Spread.text(),
            "version  accepted_ms  vm    source      waited_ms  took_ms  "
            "queued_ms  handover_ms  held_ms\n"
            "4        +0           vm-1  watch       0          700      5     "
            "     -            80\n"
            "4        +500         vm-2  10.0.0.1:7  300        20       0     "
            "     200          -\n");
}

} // namespace acaciacross::operatorcli
