#include "Programs/OperatorCli/LogSummary.h"

#include <gtest/gtest.h>

#include <sstream>

namespace acaciacross::operatorcli {

class LogSummaryTest : public testing::Test {
protected:
  void read(const std::string &Lines) {
    std::istringstream Log(Lines);
    this->Summary.read(Log);
  }

  LogSummary Summary;
};

// Logs may have prefixes of a log collector, lines of other events and lines
// that are not JSON; none may disturb the counts.
TEST_F(LogSummaryTest, RequestsAreCountedByOutcomeRouteAndReason) {
  this->read(
      R"(vm-1 {"time_ms":5000,"name":"RequestRefused","route":"r","reason":"Overloaded"}
{"time_ms":5100,"name":"RequestRefused","route":"r","reason":"Overloaded"}
{"time_ms":6000,"name":"RequestFailed","route":"r","reason":"AttemptLost"}
{"time_ms":6000,"name":"PeerJoined"}
not JSON: RequestFailed {
)");
  EXPECT_EQ(this->Summary.text(),
            "requests by outcome, route and reason\n"
            "  2  refused r Overloaded\n"
            "  1  failed r AttemptLost\n"
            "seconds of the day with most of them (Unix time)\n"
            "  2  5\n"
            "  1  6\n"
            "attempts of these requests, by service, searcher and end\n");
}

// The log also contains samples of answers within the target, which must not be
// reported as late.
TEST_F(LogSummaryTest, AnswerWithinItsTargetIsNotCounted) {
  this->read(
      R"({"time_ms":1,"name":"RequestAnswered","route":"r","waited_ms":20,"target_ms":50}
)");
  EXPECT_TRUE(this->Summary.isEmpty());
  this->read(
      R"({"time_ms":1,"name":"RequestAnswered","route":"r","waited_ms":51,"target_ms":50}
)");
  EXPECT_NE(this->Summary.text().find("1  late r"), std::string::npos);
}

TEST_F(LogSummaryTest, AttemptsAreCountedBySearcher) {
  this->read(
      R"({"time_ms":1,"name":"AttemptEnded","service":"s","searcher":"i-1","end":"lost"}
{"time_ms":1,"name":"AttemptEnded","service":"s","searcher":"i-1","end":"lost"}
)");
  EXPECT_NE(this->Summary.json().find(R"({"name":"s i-1 lost","lines":2})"),
            std::string::npos)
      << this->Summary.json();
}

} // namespace acaciacross::operatorcli
