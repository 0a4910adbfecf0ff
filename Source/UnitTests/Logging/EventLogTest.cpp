#include "Logging/EventLog.h"

#include "Common/SystemClock.h"
#include "Json/JsonNode.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

namespace acaciacross::logging {

class EventLogTest : public testing::Test {
protected:
  void SetUp() override { ASSERT_EQ(::pipe(this->PipeEnds.data()), 0); }

  void TearDown() override {
    ::close(this->PipeEnds[0]);
    ::close(this->PipeEnds[1]);
  }

  std::string readOutput() const {
    std::array<char, 4'096> Buffer{};
    const ssize_t Count =
        ::read(this->PipeEnds[0], Buffer.data(), Buffer.size());
    return {Buffer.data(), static_cast<std::size_t>(Count)};
  }

  std::array<int, 2> PipeEnds{};
  common::SystemClock Time;
};

// Guards against values of callers that break the JSON of a line.
TEST_F(EventLogTest, LineIsOneJsonObjectWithEventAndFields) {
  EventLog Log(this->Time, this->PipeEnds[1]);
  Log.write(LogRecord(common::LogEvent::RequestRefused)
                .text("request", "quote\" and \n line")
                .number("status", 503)
                .flag("abandoned", true));
  Log.close();
  const std::string Line = this->readOutput();
  const json::JsonNode Node = json::JsonNode::parse(Line);
  EXPECT_EQ(Node["event"].number(), 500);
  EXPECT_EQ(Node["name"].string(), "RequestRefused");
  EXPECT_EQ(Node["request"].string(), "quote\" and \n line");
  EXPECT_EQ(Node["status"].number(), 503);
  EXPECT_TRUE(Node["abandoned"].boolean());
}

// Guards against a stopped reader that blocks the threads that log, or that
// makes the queue grow without limit.
TEST_F(EventLogTest, PipeWithoutReaderDoesNotDelayTheWriter) {
  EventLog Log(this->Time, this->PipeEnds[1]);
  const auto Start = std::chrono::steady_clock::now();
  constexpr int Lines = 50'000;
  for (int I = 0; I < Lines; ++I)
    Log.write(LogRecord(common::LogEvent::RequestFailed)
                  .text("request", "0123456789abcdef")
                  .number("status", 504));
  const auto Took = std::chrono::steady_clock::now() - Start;
  EXPECT_GT(Log.dropped(), 0U);
  EXPECT_LT(Took, std::chrono::seconds(5));
  Log.close();
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(7));
}

} // namespace acaciacross::logging
