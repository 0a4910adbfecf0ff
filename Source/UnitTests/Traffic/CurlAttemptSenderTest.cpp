#include "Traffic/CurlAttemptSender.h"

#include "Common/SystemClock.h"
#include "RawUpstream.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using query::AttemptStatus;
using std::chrono::milliseconds;

class CurlAttemptSenderTest : public testing::Test {
protected:
  query::AttemptSpec makeSpec(const common::Address &Endpoint) {
    query::AttemptSpec Spec;
    Spec.Id = {common::Incarnation(7), this->Sequence++};
    Spec.Endpoint = Endpoint;
    Spec.Request = common::RequestId("r");
    Spec.Class = common::ClassName("c");
    Spec.Snapshot = common::SnapshotId("s");
    Spec.Shard = common::ShardId(3);
    Spec.Deadline = this->Time.monotonicNow() + milliseconds(5000);
    Spec.WallDeadline = this->Time.wallNow() + milliseconds(5000);
    Spec.Body = "body";
    return Spec;
  }

  query::AttemptResult run(const query::AttemptSpec &Spec) {
    this->Sender.start(Spec);
    std::vector<EndedAttempt> Ended = this->Sender.perform();
    while (Ended.empty()) {
      this->Sender.wait(milliseconds(1000));
      Ended = this->Sender.perform();
    }
    EXPECT_EQ(Ended.size(), 1U);
    EXPECT_EQ(Ended[0].Result.Attempt, Spec.Id);
    return Ended[0].Result;
  }

  static std::string makeResponse(const std::string &Status,
                                  const std::string &Body,
                                  const std::string &Extra = "") {
    return "HTTP/1.1 " + Status + "\r\n" + Extra +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  static std::string makeAnswer(std::uint64_t Sequence) {
    const common::AttemptId Id{common::Incarnation(7), Sequence};
    return makeResponse("200 OK",
                        R"({"attempt_id":")" + Id.toString() +
                            R"(","snapshot":"s","shard":3,"range_begin":0,)" +
                            R"("range_end":9,"body":"found"})");
  }

  /// Answers the first request; reads the second one and closes the connection.
  static RawUpstream::Responder closeOnSecondRequest() {
    return [](std::size_t Number, const std::string &) {
      return Number == 1 ? std::string() : makeAnswer(Number);
    };
  }

  common::SystemClock Time;
  CurlAttemptSender Sender{Time};
  std::uint64_t Sequence = 0;
};

// By default libcurl repeats a request when a reused connection ends without a
// response. That would run a booking twice.
TEST_F(CurlAttemptSenderTest,
       ReusedConnectionClosedAfterRequestIsLostAndNotRepeated) {
  RawUpstream Upstream(closeOnSecondRequest());
  EXPECT_EQ(this->run(this->makeSpec(Upstream.endpoint())).Status,
            AttemptStatus::Answered);
  EXPECT_EQ(this->run(this->makeSpec(Upstream.endpoint())).Status,
            AttemptStatus::Lost);
  EXPECT_EQ(Upstream.requests().size(), 2U);
}

// libcurl reports a response that ends in its head as a success without a body.
TEST_F(CurlAttemptSenderTest, AnswerThatIsCutAnywhereIsLost) {
  const std::size_t Size = makeAnswer(0).size();
  RawUpstream Upstream([](std::size_t Number, const std::string &) {
    return makeAnswer(Number).substr(0, Number + 1) +
           std::string(RawUpstream::CloseMark);
  });
  for (std::size_t Number = 0; Number + 1 < Size; ++Number)
    EXPECT_EQ(this->run(this->makeSpec(Upstream.endpoint())).Status,
              AttemptStatus::Lost)
        << Number + 1 << " bytes";
}

// An empty body needs no rewinding, so the missing seek callback alone does not
// keep libcurl from repeating the request.
TEST_F(CurlAttemptSenderTest,
       ReusedConnectionClosedWithEmptyBodyIsLostAndNotRepeated) {
  RawUpstream Upstream(closeOnSecondRequest());
  this->run(this->makeSpec(Upstream.endpoint()));
  query::AttemptSpec Spec = this->makeSpec(Upstream.endpoint());
  Spec.Body.clear();
  EXPECT_EQ(this->run(Spec).Status, AttemptStatus::Lost);
  EXPECT_EQ(Upstream.requests().size(), 2U);
}

TEST_F(CurlAttemptSenderTest, AnswerCarriesEveryFieldOfTheReply) {
  RawUpstream Upstream(closeOnSecondRequest());
  const auto Result = this->run(this->makeSpec(Upstream.endpoint()));
  ASSERT_TRUE(Result.Reply);
  EXPECT_EQ(Result.Reply->Attempt, Result.Attempt);
  EXPECT_EQ(Result.Reply->Shard, common::ShardId(3));
  EXPECT_EQ(Result.Reply->Range, (common::KeyRange{0, 9}));
  EXPECT_EQ(Result.Reply->Body, "found");
  EXPECT_NE(Upstream.requests()[0].find("X-Attempt-Id: 0000000000000007-0\r\n"),
            std::string::npos);
}

TEST_F(CurlAttemptSenderTest, RefusedConnectionIsNotSent) {
  common::Address Unused;
  {
    RawUpstream Upstream(closeOnSecondRequest());
    Unused = Upstream.endpoint();
  }
  EXPECT_EQ(this->run(this->makeSpec(Unused)).Status, AttemptStatus::NotSent);
}

// Guards against sending expired work when the process was paused between the
// decision to send an attempt and the sending.
TEST_F(CurlAttemptSenderTest, DeadlinePassedBeforeSendingSendsNothing) {
  RawUpstream Upstream(closeOnSecondRequest());
  query::AttemptSpec Spec = this->makeSpec(Upstream.endpoint());
  Spec.Deadline = this->Time.monotonicNow();
  EXPECT_EQ(this->run(Spec).Status, AttemptStatus::ExpiredBeforeStart);
  EXPECT_TRUE(Upstream.requests().empty());
}

TEST_F(CurlAttemptSenderTest, ErrorResponsesMapToTheirStatus) {
  const std::vector<std::pair<std::string, AttemptStatus>> Cases = {
      {"503 Shed", AttemptStatus::Shed},
      {"410 Gone", AttemptStatus::SnapshotGone},
      {"409 Conflict", AttemptStatus::ShardGone},
      {"504 Late", AttemptStatus::ExpiredBeforeStart},
      {"500 Fault", AttemptStatus::Lost},
      {"200 Not JSON", AttemptStatus::Lost}};
  RawUpstream Upstream([&](std::size_t Number, const std::string &) {
    return makeResponse(Cases[Number].first, "{");
  });
  for (const auto &[Line, Status] : Cases)
    EXPECT_EQ(this->run(this->makeSpec(Upstream.endpoint())).Status, Status)
        << Line;
}

TEST_F(CurlAttemptSenderTest, DrainHeaderOfAnyResponseIsReported) {
  RawUpstream Upstream([](std::size_t, const std::string &) {
    return makeResponse("503 Shed", "", "X-Draining: 1\r\n");
  });
  EXPECT_TRUE(this->run(this->makeSpec(Upstream.endpoint())).IsDraining);
}

// An endless reply must not use up the memory of the VM.
TEST_F(CurlAttemptSenderTest, ReplyAboveTheBoundIsLost) {
  RawUpstream Upstream([](std::size_t, const std::string &) {
    return makeResponse("200 OK", std::string(std::size_t{5} << 20, ' '));
  });
  EXPECT_EQ(this->run(this->makeSpec(Upstream.endpoint())).Status,
            AttemptStatus::Lost);
}

// Searchers stop work whose connection is closed. An open connection could also
// deliver the late reply to the next attempt.
TEST_F(CurlAttemptSenderTest, CancelClosesTheConnection) {
  RawUpstream Upstream([](std::size_t, const std::string &) {
    return std::string("HTTP/1.1 200 OK\r\n");
  });
  const query::AttemptSpec Spec = this->makeSpec(Upstream.endpoint());
  this->Sender.start(Spec);
  while (Upstream.requests().empty()) {
    this->Sender.perform();
    this->Sender.wait(milliseconds(10));
  }
  this->Sender.cancel(Spec.Id);
  // A wait may end at once while the socket closes, so the loop is limited by
  // time and not by the number of waits.
  const auto Limit = std::chrono::steady_clock::now() + milliseconds(5'000);
  while (Upstream.closedByPeerCount() == 0 &&
         std::chrono::steady_clock::now() < Limit)
    this->Sender.wait(milliseconds(10));
  EXPECT_EQ(Upstream.closedByPeerCount(), 1U);
  EXPECT_TRUE(this->Sender.perform().empty());
}

} // namespace acaciacross::traffic
