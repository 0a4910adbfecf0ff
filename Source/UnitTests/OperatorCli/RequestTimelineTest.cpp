#include "Programs/OperatorCli/RequestTimeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace acaciacross::operatorcli {

class RequestTimelineTest : public testing::Test {
protected:
  void read(const std::string &Lines) {
    std::istringstream Log(Lines);
    this->Timeline.read(Log);
  }

  RequestTimeline Timeline{"r1"};
};

TEST_F(RequestTimelineTest, LinesOfSeveralLogsAreOrderedByTime) {
  this->read(
      "12.5 vm-2 {\"time_ms\":1020,\"vm\":\"vm-2\",\"event\":507,"
      "\"name\":\"AttemptEnded\",\"request\":\"r1\",\"end\":\"lost\"}\n");
  this->read(
      "{\"time_ms\":1000,\"vm\":\"vm-1\",\"event\":500,"
      "\"name\":\"RequestRefused\",\"request\":\"r1\",\"status\":503}\n");
  EXPECT_EQ(this->Timeline.text(),
            "+0 ms 500 RequestRefused vm=vm-1 status=503\n"
            "+20 ms 507 AttemptEnded vm=vm-2 end=lost\n");
}

TEST_F(RequestTimelineTest, OtherRequestsAndMalformedLinesAreIgnored) {
  this->read("{\"request\":\"r11\"}\nr1 no object\n{\"request\":\"r1\"\n\n");
  EXPECT_TRUE(this->Timeline.isEmpty());
}

TEST_F(RequestTimelineTest, JsonIsAnArrayOfTheLines) {
  this->read("{\"time_ms\":2,\"request\":\"r1\"}\n");
  EXPECT_EQ(this->Timeline.json(), "[{\"time_ms\":2,\"request\":\"r1\"}]");
}

} // namespace acaciacross::operatorcli
