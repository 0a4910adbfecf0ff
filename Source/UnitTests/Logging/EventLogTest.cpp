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
  void SetUp() override { ASSERT_EQ(::pipe(this->Ends.data()), 0); }

  void TearDown() override {
    ::close(this->Ends[0]);
    ::close(this->Ends[1]);
  }

  std::string readSome() const {
    std::array<char, 4'096> Buffer{};
    const ssize_t Count = ::read(this->Ends[0], Buffer.data(), Buffer.size());
    return {Buffer.data(), static_cast<std::size_t>(Count)};
  }

  std::array<int, 2> Ends{};
  common::SystemClock Time;
};

TEST_F(EventLogTest, LineIsOneJsonObjectWithEventAndFields) {
  EventLog Log(this->Time, this->Ends[1]);
  Log.write(LogRecord(common::LogEvent::RequestRefused)
                .text("request", "quote\" and \n line")
                .number("status", 503)
                .flag("abandoned", true));
  Log.close();
  const std::string Line = this->readSome();
  const json::JsonNode Node = json::JsonNode::parse(Line);
  EXPECT_EQ(Node["event"].number(), 500);
  EXPECT_EQ(Node["name"].string(), "RequestRefused");
  EXPECT_EQ(Node["request"].string(), "quote\" and \n line");
  EXPECT_EQ(Node["status"].number(), 503);
  EXPECT_TRUE(Node["abandoned"].boolean());
}

// A reader that has stopped must cost neither time nor memory.
TEST_F(EventLogTest, PipeThatNobodyReadsDoesNotDelayTheWriter) {
  EventLog Log(this->Time, this->Ends[1]);
  const auto Begin = std::chrono::steady_clock::now();
  constexpr int Lines = 50'000;
  for (int I = 0; I < Lines; ++I)
    Log.write(LogRecord(common::LogEvent::RequestFailed)
                  .text("request", "0123456789abcdef")
                  .number("status", 504));
  const auto Took = std::chrono::steady_clock::now() - Begin;
  EXPECT_GT(Log.dropped(), 0U);
  EXPECT_LT(Took, std::chrono::seconds(5));
  Log.close();
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, std::chrono::seconds(7));
}

} // namespace acaciacross::logging
