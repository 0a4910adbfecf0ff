#include "Http/MessageWriter.h"
#include "Http/RequestParser.h"
#include "Http/ResponseParser.h"

#include <gtest/gtest.h>

namespace acaciacross::http {

class MessageParserTest : public testing::Test {
protected:
  RequestParser Requests{1'024, 64};
  ResponseParser Responses{1'024, 64};
};

TEST_F(MessageParserTest, RequestInSinglePiecesIsComplete) {
  const std::string Bytes = "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nxyz";
  for (const char Each : Bytes)
    EXPECT_EQ(this->Requests.feed({&Each, 1}), 1U);
  ASSERT_TRUE(this->Requests.isComplete());
  const Request Whole = this->Requests.take();
  EXPECT_EQ(Whole.Method, "POST");
  EXPECT_EQ(Whole.Target, "/a/b?c=%20d");
  EXPECT_EQ(Whole.Body, "xyz");
  EXPECT_TRUE(Whole.KeepAlive);
}

TEST_F(MessageParserTest, ChunkedBodyIsJoined) {
  this->Requests.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  ASSERT_TRUE(this->Requests.isComplete());
  EXPECT_EQ(this->Requests.take().Body, "abc");
}

// The bytes of the next request must not be taken for a part of this one.
TEST_F(MessageParserTest, BytesAfterTheRequestAreLeft) {
  const std::string First = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  EXPECT_EQ(this->Requests.feed(First + "GET /2"), First.size());
  EXPECT_TRUE(this->Requests.isComplete());
}

// A length beside chunks is how requests are smuggled.
TEST_F(MessageParserTest, LengthBesideChunksIsMalformed) {
  this->Requests.feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(this->Requests.problem(), ParseProblem::Malformed);
}

TEST_F(MessageParserTest, LargeHeadAndBodyAreProblemsOfTheirOwn) {
  this->Requests.feed("GET / HTTP/1.1\r\nA: " + std::string(2'000, 'a'));
  EXPECT_EQ(this->Requests.problem(), ParseProblem::HeadTooLarge);
  RequestParser Other(1'024, 4);
  Other.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n12345");
  EXPECT_EQ(Other.problem(), ParseProblem::BodyTooLarge);
}

TEST_F(MessageParserTest, ResponseWithoutLengthEndsWithTheConnection) {
  this->Responses.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_FALSE(this->Responses.isComplete());
  this->Responses.end();
  ASSERT_TRUE(this->Responses.isComplete());
  EXPECT_EQ(this->Responses.take().Body, "abc");
}

// An answer that ends early must not look complete.
TEST_F(MessageParserTest, CutResponseIsMalformed) {
  this->Responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  this->Responses.end();
  EXPECT_FALSE(this->Responses.isComplete());
  EXPECT_EQ(this->Responses.problem(), ParseProblem::Malformed);
}

TEST_F(MessageParserTest, ResponseToHeadHasNoBody) {
  this->Responses.expect(false);
  this->Responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  EXPECT_TRUE(this->Responses.isComplete());
}

TEST_F(MessageParserTest, ConnectionFieldsAreNotEndToEnd) {
  HeaderList Headers;
  Headers.add("Host", "h");
  Headers.add("Connection", "close, X-Hop");
  Headers.add("x-hop", "1");
  Headers.add("Keep-Alive", "timeout=5");
  Headers.add("X-End", "2");
  const HeaderList Kept = Headers.endToEnd();
  ASSERT_EQ(Kept.fields().size(), 2U);
  EXPECT_EQ(Kept.fields()[0].Name, "Host");
  EXPECT_EQ(Kept.fields()[1].Name, "X-End");
}

TEST_F(MessageParserTest, WrittenResponseParsesBack) {
  Response Message;
  Message.Status = 503;
  Message.Body = "why";
  this->Responses.feed(writeResponse(Message, false));
  ASSERT_TRUE(this->Responses.isComplete());
  const Response Back = this->Responses.take();
  EXPECT_EQ(Back.Status, 503);
  EXPECT_EQ(Back.Body, "why");
  EXPECT_FALSE(Back.KeepAlive);
}

} // namespace acaciacross::http
