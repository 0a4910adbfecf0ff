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

// TCP may deliver a request in parts of any size.
TEST_F(MessageParserTest, RequestFedByteByByteIsComplete) {
  const std::string Bytes = "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nxyz";
  for (const char Character : Bytes)
    EXPECT_EQ(this->Requests.feed({&Character, 1}), 1U);
  ASSERT_TRUE(this->Requests.isComplete());
  const Request Received = this->Requests.take();
  EXPECT_EQ(Received.Method, "POST");
  EXPECT_EQ(Received.Target, "/a/b?c=%20d");
  EXPECT_EQ(Received.Body, "xyz");
  EXPECT_TRUE(Received.KeepAlive);
}

// Guards against chunk sizes that end up in the body.
TEST_F(MessageParserTest, ChunkedBodyIsJoined) {
  this->Requests.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  ASSERT_TRUE(this->Requests.isComplete());
  EXPECT_EQ(this->Requests.take().Body, "abc");
}

// Guards against bytes of a pipelined request that become part of this one.
TEST_F(MessageParserTest, BytesAfterTheRequestAreNotConsumed) {
  const std::string FirstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  EXPECT_EQ(this->Requests.feed(FirstRequest + "GET /2"), FirstRequest.size());
  EXPECT_TRUE(this->Requests.isComplete());
}

// Guards against request smuggling with both a length and a chunked body.
TEST_F(MessageParserTest, ContentLengthWithChunkedEncodingIsMalformed) {
  this->Requests.feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(this->Requests.problem(), ParseProblem::Malformed);
}

// The two limits lead to responses with different status codes.
TEST_F(MessageParserTest, LargeHeadAndLargeBodyAreDistinctProblems) {
  this->Requests.feed("GET / HTTP/1.1\r\nA: " + std::string(2'000, 'a'));
  EXPECT_EQ(this->Requests.problem(), ParseProblem::HeadTooLarge);
  RequestParser SmallBodyParser(1'024, 4);
  SmallBodyParser.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n12345");
  EXPECT_EQ(SmallBodyParser.problem(), ParseProblem::BodyTooLarge);
}

// A field of a few bytes takes over 100 in memory. The configuration bounds the
// bytes of a head and not its fields, so the memory must be counted as it is.
TEST_F(MessageParserTest, LargestHeadOfShortestFieldsCountsWithItsMemory) {
  const std::string Start = "GET / HTTP/1.1\r\n";
  RequestParser Parser(16'384, 64);
  Parser.feed(Start);
  std::size_t Fields = 0;
  for (std::size_t Bytes = Start.size(); Bytes + 6 <= 16'384; Bytes += 4) {
    Parser.feed("a:\r\n");
    ++Fields;
  }
  EXPECT_GT(Parser.heldBytes(), (Fields - 1) * sizeof(Header));
  Parser.feed("\r\n");
  ASSERT_TRUE(Parser.isComplete());
  EXPECT_EQ(Parser.take().Headers.fields().size(), Fields);
}

// Guards against a dropped body that is no longer bounded, or becomes part of
// the next request.
TEST_F(MessageParserTest, DroppedBodyIsCountedButNotKept) {
  const std::string Head = "POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n";
  this->Requests.feed(Head);
  this->Requests.dropBody();
  this->Requests.feed(std::string(60, 'b'));
  ASSERT_TRUE(this->Requests.isComplete());
  const Request Received = this->Requests.take();
  EXPECT_TRUE(Received.IsBodyDropped);
  EXPECT_TRUE(Received.Body.empty());
  this->Requests.feed("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
  this->Requests.dropBody();
  this->Requests.feed(std::string(65, 'b'));
  EXPECT_EQ(this->Requests.problem(), ParseProblem::BodyTooLarge);
}

// Guards against a response without a length that is never complete.
TEST_F(MessageParserTest, ResponseWithoutLengthEndsWithTheConnection) {
  this->Responses.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_FALSE(this->Responses.isComplete());
  this->Responses.end();
  ASSERT_TRUE(this->Responses.isComplete());
  EXPECT_EQ(this->Responses.take().Body, "abc");
}

// Guards against a response that ends early and is passed on as complete.
TEST_F(MessageParserTest, TruncatedResponseIsMalformed) {
  this->Responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  this->Responses.end();
  EXPECT_FALSE(this->Responses.isComplete());
  EXPECT_EQ(this->Responses.problem(), ParseProblem::Malformed);
}

// A status line that had lost a digit was passed on to the caller, which cannot
// parse it.
TEST_F(MessageParserTest, ResponseWithAStatusOutOfRangeIsMalformed) {
  for (const std::string Status :
       {"0", "2", "20", "99", "2 00", "600", "999", "1000", "-20", "2x0", "",
        "0200", "000", "+20", "abc", "00200"}) {
    ResponseParser Parser(1'024, 64);
    Parser.feed("HTTP/1.1 " + Status + " OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(Parser.problem(), ParseProblem::Malformed) << Status;
  }
}

// A searcher that closed in the middle of its head led to an empty answer that
// looked complete.
TEST_F(MessageParserTest, ResponseThatEndsInItsHeadIsMalformed) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: t\r\n"
                           "X-Request-Id: r1\r\n\r\n";
  for (std::size_t Size = 1; Size < Head.size(); ++Size) {
    ResponseParser Parser(1'024, 64);
    Parser.feed(Head.substr(0, Size));
    Parser.end();
    EXPECT_FALSE(Parser.isComplete()) << Size;
    EXPECT_EQ(Parser.problem(), ParseProblem::Malformed) << Size;
  }
}

// Fields that are no fields were passed on, and the next parser may read them
// in another way or reject the whole message.
TEST_F(MessageParserTest, MessageWithAnInvalidFieldIsMalformed) {
  for (const std::string Field :
       {"X Name: 1", "X-Name : 1", "X-Name: a\x01z", "X-Name: a\x7fz"}) {
    ResponseParser Responses(1'024, 64);
    Responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + Field +
                   "\r\n\r\n");
    EXPECT_EQ(Responses.problem(), ParseProblem::Malformed) << Field;
    RequestParser Requests(1'024, 64);
    Requests.feed("GET / HTTP/1.1\r\nHost: h\r\n" + Field + "\r\n\r\n");
    EXPECT_EQ(Requests.problem(), ParseProblem::Malformed) << Field;
  }
}

TEST_F(MessageParserTest, UnusualButValidFieldsAreKept) {
  this->Responses.feed(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
      "x!#$%&'*+-.^_`|~9: \"\xc3\xa9\"\ta\r\nX-Empty:\r\n\r\n");
  ASSERT_TRUE(this->Responses.isComplete());
  EXPECT_EQ(this->Responses.take().Headers.fields().size(), 3U);
}

// Its length field describes a body that is not sent; waiting for it would end
// in a timeout.
TEST_F(MessageParserTest, ResponseToHeadHasNoBody) {
  this->Responses.expect(false);
  this->Responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  EXPECT_TRUE(this->Responses.isComplete());
}

// Guards against fields of one connection that are forwarded to the next one.
TEST_F(MessageParserTest, ConnectionFieldsAreNotEndToEnd) {
  HeaderList Headers;
  Headers.add("Host", "h");
  Headers.add("Connection", "close, X-Hop");
  Headers.add("x-hop", "1");
  Headers.add("Keep-Alive", "timeout=5");
  Headers.add("X-End", "2");
  const HeaderList EndToEnd = Headers.endToEndFields();
  ASSERT_EQ(EndToEnd.fields().size(), 2U);
  EXPECT_EQ(EndToEnd.fields()[0].Name, "Host");
  EXPECT_EQ(EndToEnd.fields()[1].Name, "X-End");
}

// Guards against a writer whose output other parsers reject.
TEST_F(MessageParserTest, WrittenResponseCanBeParsed) {
  Response Message;
  Message.Status = 503;
  Message.Body = "why";
  this->Responses.feed(writeResponse(Message, false));
  ASSERT_TRUE(this->Responses.isComplete());
  const Response Parsed = this->Responses.take();
  EXPECT_EQ(Parsed.Status, 503);
  EXPECT_EQ(Parsed.Body, "why");
  EXPECT_FALSE(Parsed.KeepAlive);
}

} // namespace acaciacross::http
