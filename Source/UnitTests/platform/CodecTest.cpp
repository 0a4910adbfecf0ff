#include "platform/Base64.h"
#include "platform/CallerCodec.h"
#include "platform/SearcherCodec.h"

#include <gtest/gtest.h>

namespace acaciacross::adapter {

class CodecTest : public testing::Test {
protected:
  static http::Response makeResponse(int Status,
                                     const std::vector<http::Header> &Headers) {
    http::Response Message;
    Message.Status = Status;
    for (const http::Header &Field : Headers)
      Message.Headers.add(Field.Name, Field.Value);
    return Message;
  }

  CallerCodec Callers;
  SearcherCodec Searchers;
};

// A searcher must see the caller's target, headers and body unchanged, and the
// time that is left instead of the caller's.
TEST_F(CodecTest, RequestToSearcherChangesOnlyOwnHeaders) {
  forwarding::ForwardRequest Request;
  Request.Message.Method = "POST";
  Request.Message.Target = "/a//b?x=%2f";
  Request.Message.Headers.add("Host", "h");
  Request.Message.Headers.add("X-Request-Id", "r1");
  Request.Message.Headers.add("X-Request-Deadline", "500");
  Request.Message.Headers.add("Connection", "keep-alive");
  Request.Message.Body = "body";
  forwarding::SearcherEntry Searcher;
  Searcher.Id = common::SearcherId("i-1");
  EXPECT_EQ(
      this->Searchers.encode(Request, Searcher, std::chrono::milliseconds(420)),
      "POST /a//b?x=%2f HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
      "X-Request-Deadline: 420\r\nX-Expect-Instance: i-1\r\n"
      "Content-Length: 4\r\n\r\nbody");
}

// A request that may have run must not be taken for one that did not run, or it
// would be repeated.
TEST_F(CodecTest, ResponseTellsWhetherRequestRan) {
  EXPECT_TRUE(
      this->Searchers.decode(makeResponse(503, {{"X-Not-Executed", "1"}}))
          .IsNotRun);
  EXPECT_TRUE(this->Searchers.decode(makeResponse(421, {})).IsNotRun);
  // A 503 without the header does not exclude that the searcher ran the
  // request.
  EXPECT_FALSE(this->Searchers.decode(makeResponse(503, {})).IsNotRun);
}

// A load header with missing numbers must not be read as zero load.
TEST_F(CodecTest, ResponseHeadersGiveLoadAndIdleTimeout) {
  const auto Reply = this->Searchers.decode(
      makeResponse(200, {{"X-Server-Load", "3, 1,8"},
                         {"Keep-Alive", "timeout=5, max=9"},
                         {"X-Server-Stamp", "p"}}));
  ASSERT_TRUE(Reply.Load);
  EXPECT_EQ(Reply.Load->Running, 3U);
  EXPECT_EQ(Reply.Load->Waiting, 1U);
  EXPECT_EQ(Reply.Load->Slots, 8U);
  EXPECT_EQ(Reply.IdleTimeout, std::chrono::seconds(5));
  EXPECT_EQ(Reply.Stamp, "p");
  EXPECT_FALSE(
      this->Searchers.decode(makeResponse(200, {{"X-Server-Load", "3,,"}}))
          .Load);
}

// A searcher that leaves says so in all its answers; one that took over the
// address speaks for itself only.
TEST_F(CodecTest, ResponseTellsThatItsSearcherLeaves) {
  const auto IsLeaving = [&](int Status, const std::string &Value) {
    return this->Searchers
        .decode(makeResponse(Status, {{"Server-Leaving", Value}}))
        .Notice.IsLeaving;
  };
  EXPECT_TRUE(IsLeaving(200, "1"));
  EXPECT_TRUE(IsLeaving(503, "1"));
  EXPECT_FALSE(IsLeaving(200, "0"));
  EXPECT_FALSE(IsLeaving(421, "1"));
  EXPECT_FALSE(this->Searchers.decode(makeResponse(200, {})).Notice.IsLeaving);
}

TEST_F(CodecTest, RetryAfterOfARejectionIsAPause) {
  const auto PauseOf = [&](int Status, const std::string &Value) {
    return this->Searchers
        .decode(makeResponse(Status, {{"Retry-After", Value}}))
        .Notice.Pause;
  };
  EXPECT_EQ(PauseOf(503, "2"), std::chrono::milliseconds(2'000));
  EXPECT_EQ(PauseOf(503, " 0.25"), std::chrono::milliseconds(250));
  EXPECT_EQ(PauseOf(503, "0.0001"), std::chrono::milliseconds(1));
  EXPECT_FALSE(PauseOf(200, "2"));
  EXPECT_FALSE(PauseOf(421, "2"));
}

// No value may keep a searcher unused for good.
TEST_F(CodecTest, InvalidRetryAfterIsNoPause) {
  for (const char *Text : {"", "0", "-1", "nan", "inf", "-inf", "1e999", "2x",
                           "Fri, 31 Dec 2027 23:59:59 GMT", "1 2", "0x10"}) {
    const auto Notice =
        this->Searchers.decode(makeResponse(503, {{"Retry-After", Text}}))
            .Notice;
    EXPECT_FALSE(Notice.Pause) << Text;
    EXPECT_FALSE(Notice.InvalidPause.empty()) << Text;
  }
  for (const char *Text : {"99999999", "1e300"})
    EXPECT_EQ(this->Searchers.decode(makeResponse(503, {{"Retry-After", Text}}))
                  .Notice.Pause,
              std::chrono::hours(1))
        << Text;
}

// A number that is cut to fewer bits or followed by other characters must not
// count as a small load.
TEST_F(CodecTest, ResponseTellsHowLongItsSearcherStaysCold) {
  const auto Notice = [this](const std::string &Value) {
    return this->Searchers
        .decode(makeResponse(200, {{"X-Cold-Remaining", Value}}))
        .Notice;
  };
  EXPECT_EQ(Notice("2500").ColdLeft, std::chrono::milliseconds(2'500));
  EXPECT_EQ(Notice("0").ColdLeft, std::chrono::milliseconds(0));
  EXPECT_FALSE(this->Searchers.decode(makeResponse(200, {})).Notice.ColdLeft);
}

// A wrong time must neither stop the searcher's use nor lift its limit.
TEST_F(CodecTest, InvalidTimeToStayColdIsReportedAndIgnored) {
  for (const char *Text :
       {"", "-1", "nan", "soon", "1.5", "86400001", "99999999999999999999"}) {
    const auto Notice =
        this->Searchers.decode(makeResponse(200, {{"X-Cold-Remaining", Text}}))
            .Notice;
    EXPECT_FALSE(Notice.ColdLeft) << Text;
    EXPECT_FALSE(Notice.InvalidColdLeft.empty()) << Text;
  }
}

TEST_F(CodecTest, LoadOutOfRangeIsIgnored) {
  for (const char *Text :
       {"4294967296,0,4", "1,-1,4", "1,0,4x", "1,0,99999999999999999999"})
    EXPECT_FALSE(
        this->Searchers.decode(makeResponse(200, {{"X-Server-Load", Text}}))
            .Load)
        << Text;
  EXPECT_TRUE(this->Searchers
                  .decode(makeResponse(200, {{"X-Server-Load", "1,0,4,100"}}))
                  .Load);
}

// An odd fourth figure must not count as a fast or stopped machine, nor take
// away the other three.
TEST_F(CodecTest, LoadHeaderGivesTheSlownessOfTheMachine) {
  const auto LoadOf = [&](const std::string &Text) {
    return this->Searchers.decode(makeResponse(200, {{"X-Server-Load", Text}}))
        .Load;
  };
  EXPECT_DOUBLE_EQ(LoadOf("1,0,4,350")->Slowness.value(), 3.5);
  EXPECT_DOUBLE_EQ(LoadOf("1,0,4,100,7")->Slowness.value(), 1.0);
  for (const char *Text : {"1,0,4", "1,0,4,", "1,0,4,0", "1,0,4,-5",
                           "1,0,4,nan", "1,0,4,1e3", "1,0,4,999999999"}) {
    ASSERT_TRUE(LoadOf(Text)) << Text;
    EXPECT_FALSE(LoadOf(Text)->Slowness) << Text;
    EXPECT_EQ(LoadOf(Text)->Slots, 4U) << Text;
  }
}

// A malformed number must not become a deadline that has passed or overflows.
TEST_F(CodecTest, InvalidCallerDeadlineIsIgnored) {
  for (const char *Text : {"", "-5", "abc", "5x", "99999999999999999999"}) {
    http::Request Request;
    Request.Headers.add("X-Request-Deadline", Text);
    EXPECT_FALSE(this->Callers.decode(Request).TimeLeft) << Text;
  }
}

TEST_F(CodecTest, GatheredAnswerCarriesStampsAndMissingShards) {
  forwarding::Answer Answer;
  Answer.Kind = forwarding::AnswerKind::Gathered;
  Answer.Message.Status = 200;
  Answer.Stamps = {"a", "b"};
  Answer.MissingShards = 1;
  const http::Response Message = this->Callers.encode(Answer);
  EXPECT_EQ(*Message.Headers.find("X-Part-Stamps"), "a, b");
  EXPECT_EQ(*Message.Headers.find("X-Missing-Parts"), "1");
}

// A refusal must tell callers when to retry, and carries no proof of an answer.
TEST_F(CodecTest, RefusalCarriesRetryAfter) {
  forwarding::Answer Answer;
  Answer.Kind = forwarding::AnswerKind::Refused;
  Answer.Code = common::ResultCode::Overloaded;
  Answer.Message.Status = 503;
  Answer.RetryAfter = std::chrono::milliseconds(150);
  const http::Response Message = this->Callers.encode(Answer);
  EXPECT_EQ(*Message.Headers.find("Retry-After"), "0.150");
  EXPECT_EQ(Message.Headers.find("X-Server-Stamp"), nullptr);
}

TEST_F(CodecTest, Base64WithPaddingDecodes) {
  EXPECT_EQ(decodeBase64("bm9kZS0x"), "node-1");
  EXPECT_EQ(decodeBase64("YQ=="), "a");
  EXPECT_EQ(decodeBase64(""), "");
  EXPECT_FALSE(decodeBase64("YQ="));
  EXPECT_FALSE(decodeBase64("!!!!"));
  // Characters after the padding would be dropped silently.
  EXPECT_FALSE(decodeBase64("YQ=a"));
  EXPECT_FALSE(decodeBase64("YQ=\n"));
}

} // namespace acaciacross::adapter
