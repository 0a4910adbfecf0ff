#include "Frontend/CallerServer.h"

#include "Common/SeededRandom.h"
#include "Common/SystemClock.h"
#include "FakeGateway.h"
#include "RawCaller.h"

#include "Json/JsonObject.h"

#include <gtest/gtest.h>

namespace acaciacross::frontend {

using std::chrono::milliseconds;

class CallerServerTest : public testing::Test, public AuditSource {
protected:
  void requestAfter(std::uint64_t Sequence,
                    std::shared_ptr<AuditSink> Sink) override {
    Sink->onEntries({{Sequence + 1, {}, "service", "classes", "accepted"}});
  }

  static CallerServerSettings makeSettings() {
    CallerServerSettings Chosen;
    Chosen.Listen = {"127.0.0.1", 0};
    Chosen.MaxBodyBytes = 2000;
    Chosen.ReadTime = milliseconds(300);
    return Chosen;
  }

  static std::string query(const std::string &Id, const std::string &Class) {
    return R"({"id":")" + Id + R"(","class":")" + Class +
           R"(","deadline_ms":1000,"body":"of )" + Id + R"("})";
  }

  std::string call(const std::string &Line, const std::string &Body = "") {
    RawCaller Caller(this->Server.endpoint());
    Caller.sendRequest(Line, Body);
    return Caller.receive();
  }

  static json::JsonObject bodyOf(const std::string &Response) {
    const auto Body = Response.substr(Response.find("\r\n\r\n") + 4);
    return json::JsonObject::parse(Body).value_or(json::JsonObject());
  }

  /// "<status> <result> <id>" of the answer to a query body.
  std::string ask(const std::string &Body) {
    const std::string Response = this->call("POST /v1/query", Body);
    const auto Object = bodyOf(Response);
    return Response.substr(9, 3) + " " +
           Object.string("result").value_or("none") + " " +
           Object.string("id").value_or("none");
  }

  common::SystemClock Time;
  common::SeededRandom Random{1};
  FakeGateway Gateway;
  CallDispatcher Calls{common::VmId("entry-1"),
                       common::Incarnation(~0ULL),
                       this->Gateway,
                       *this,
                       this->Time,
                       this->Random};
  CallerServer Server{makeSettings(), this->Calls, this->Time};
};

TEST_F(CallerServerTest, InterleavedAnswersReachTheirOwnCallers) {
  RawCaller First(this->Server.endpoint());
  RawCaller Second(this->Server.endpoint());
  First.sendRequest("POST /v1/query", query("1", "held"));
  Second.sendRequest("POST /v1/query", query("2", "held"));
  this->Gateway.waitUntilHeld(2);
  this->Gateway.answerHeld();
  EXPECT_NE(First.receive().find(R"("body":"of 1")"), std::string::npos);
  EXPECT_NE(Second.receive().find(R"("body":"of 2")"), std::string::npos);
}

// A caller that cannot tell which request was refused may repeat the wrong one.
TEST_F(CallerServerTest, RefusedBodiesAreAnsweredWithTheirId) {
  const std::string Start = R"({"id":"7","class":"c","deadline_ms":)";
  EXPECT_EQ(this->ask(Start + R"(9,"body":""})"), "200 Ok 7");
  for (const char *Rest :
       {R"(9})", R"(0,"body":""})", R"("9","body":""})", R"(-9,"body":""})",
        R"(9,"body":""} x)", R"(9,"body":"","other":1})", R"(9,"body":"")",
        R"(9,"body":7})", R"(9,"body":"","ticket":null})"})
    EXPECT_EQ(this->ask(Start + Rest), "400 MalformedRequest 7") << Rest;
  EXPECT_EQ(this->ask(Start + R"(9,"body":"","ticket":"t1"})"),
            "400 TicketMalformed 7");
  EXPECT_EQ(this->ask(Start + R"(9,"body":")" + std::string(5000, 'x')),
            "413 RequestTooLarge 7");
}

// The id becomes a header of the request to upstreams.
TEST_F(CallerServerTest, IdWithLineBreakIsRefused) {
  EXPECT_EQ(
      this->ask(R"({"id":"7\r\nX: y","class":"c","deadline_ms":9,"body":""})"),
      "400 MalformedRequest 7\r\nX: y");
}

TEST_F(CallerServerTest, UnknownPathIsNotFound) {
  EXPECT_EQ(this->call("GET /v2/query").substr(9, 3), "404");
  EXPECT_EQ(this->call("GET /v1/query").substr(9, 3), "404");
}

TEST_F(CallerServerTest, RefusedTicketSaysWhy) {
  const std::string Response =
      this->call("POST /v1/tickets", R"({"class":"c"})");
  EXPECT_EQ(Response.substr(9, 3), "503");
  EXPECT_EQ(bodyOf(Response).string("result"), "TicketTableFull");
}

TEST_F(CallerServerTest, OperatorPagesAreAnswered) {
  const auto Status = bodyOf(this->call("GET /v1/status"));
  EXPECT_EQ(Status.string("state"), "joining");
  EXPECT_EQ(Status.string("incarnation"), "18446744073709551615");
  EXPECT_NE(this->call("GET /metrics").find("# TYPE"), std::string::npos);
  EXPECT_NE(this->call("GET /v1/audit?after=4").find(R"("sequence":5)"),
            std::string::npos);
  EXPECT_EQ(this->call("GET /v1/audit?after=x").substr(9, 3), "400");
}

// An empty list would keep callers from asking again for its validity.
TEST_F(CallerServerTest, AddressesOfServingVmNameItElseAreRefused) {
  EXPECT_EQ(this->call("GET /v1/addresses").substr(9, 3), "503");
  this->Gateway.View->State = membership::ServingState::Serving;
  this->Gateway.View->EntryVms.push_back(
      {common::VmId("entry-1"), {"127.0.0.1", 7101}, "rack-a", {}});
  const std::string Response = this->call("GET /v1/addresses");
  EXPECT_NE(Response.find(R"({"addresses":[{"host":"127.0.0.1","port":7101,)"
                          R"("domain":"rack-a"}],"valid_ms":3000})"),
            std::string::npos)
      << Response;
}

// A caller that sends a byte now and then is never idle, so that an idle limit
// would not end it.
TEST_F(CallerServerTest, DrippingCallerIsCutOffAndOthersAreServed) {
  RawCaller Slow(this->Server.endpoint());
  RawCaller SlowBody(this->Server.endpoint());
  SlowBody.send("POST /v1/query HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 1000000\r\n\r\n");
  const auto Begin = this->Time.monotonicNow();
  bool IsOpen = true;
  bool IsBodyOpen = true;
  while ((IsOpen || IsBodyOpen) &&
         this->Time.monotonicNow() - Begin < std::chrono::seconds(20)) {
    IsOpen = IsOpen && Slow.send("G");
    IsBodyOpen = IsBodyOpen && SlowBody.send(" ");
    EXPECT_EQ(this->ask(query("1", "c")), "200 Ok 1");
  }
  EXPECT_FALSE(IsOpen);
  EXPECT_FALSE(IsBodyOpen);
}

// Without an answer the caller cannot know that its request did not run.
TEST_F(CallerServerTest, BodyThatArrivesTooSlowlyIsRefusedAndNotRun) {
  RawCaller Caller(this->Server.endpoint());
  const std::string Body = query("7", "held");
  Caller.send("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" +
              Body.substr(0, Body.size() - 1));
  const std::string Response = Caller.receive();
  EXPECT_EQ(bodyOf(Response).string("result"), "RequestTooSlow") << Response;
  EXPECT_EQ(bodyOf(Response).unsignedInteger("result_code"), 112U);
  EXPECT_EQ(bodyOf(Response).string("run"), "not_run");
  // The rest comes after the refusal.
  Caller.send("}");
  EXPECT_EQ(Caller.receive(), "");
  EXPECT_EQ(this->Gateway.countHeld(), 0U);
}

// Beyond the limit the server does not wait for the end of the body.
TEST_F(CallerServerTest, EndlessBodyIsRefusedWithItsIdBeforeItsEnd) {
  RawCaller Caller(this->Server.endpoint());
  Caller.send("POST /v1/query HTTP/1.1\r\nHost: x\r\n"
              "Content-Length: 100000000\r\n\r\n"
              R"({"id":"7","class":"c","deadline_ms":9,"body":")" +
              std::string(20'000, 'x'));
  const auto Object = bodyOf(Caller.receive());
  EXPECT_EQ(Object.string("result"), "RequestTooLarge");
  EXPECT_EQ(Object.unsignedInteger("result_code"), 101U);
  EXPECT_EQ(Object.string("id"), "7");
}

// A planned stop must cut no request, also not on a connection that was idle
// when the stop began.
TEST_F(CallerServerTest, IdleConnectionsAreServedUntilTheyAreClosed) {
  RawCaller First(this->Server.endpoint());
  RawCaller Second(this->Server.endpoint());
  RawCaller Third(this->Server.endpoint());
  for (RawCaller *Each : {&First, &Second, &Third}) {
    Each->sendRequest("POST /v1/query", query("1", "c"));
    EXPECT_EQ(Each->receive().find("Connection: close"), std::string::npos);
  }
  this->Server.beginLeaving();
  First.sendRequest("POST /v1/query", query("2", "c"));
  EXPECT_NE(First.receive().find("Connection: close"), std::string::npos);
  this->Server.closePort();
  Second.sendRequest("POST /v1/query", query("3", "held"));
  this->Gateway.waitUntilHeld(1);
  EXPECT_FALSE(this->Server.closeConnections(milliseconds(200)));
  EXPECT_EQ(Third.receive(), "");
  this->Gateway.answerHeld();
  EXPECT_NE(Second.receive().find(R"("body":"of 3")"), std::string::npos);
  EXPECT_TRUE(this->Server.closeConnections(milliseconds(10'000)));
}

// Whether the server reads a request before or after it starts to close, the
// caller that has sent it gets its response.
TEST_F(CallerServerTest, RequestSentJustBeforeTheCloseIsServed) {
  for (int Round = 0; Round < 50; ++Round) {
    CallerServer Leaving(makeSettings(), this->Calls, this->Time);
    RawCaller Caller(Leaving.endpoint());
    Caller.sendRequest("POST /v1/query", query("1", "c"));
    Caller.receive();
    Leaving.beginLeaving();
    Leaving.closePort();
    Caller.sendRequest("POST /v1/query", query("2", "c"));
    EXPECT_TRUE(Leaving.closeConnections(milliseconds(10'000)));
    ASSERT_NE(Caller.receive().find(R"("body":"of 2")"), std::string::npos)
        << Round;
  }
}

// The response is late, not the caller.
TEST_F(CallerServerTest, CallerWaitingLongerThanTheReadTimeIsAnswered) {
  RawCaller Caller(this->Server.endpoint());
  Caller.sendRequest("POST /v1/query", query("1", "held"));
  this->Gateway.waitUntilHeld(1);
  EXPECT_FALSE(this->Server.waitUntilIdle(milliseconds(600)));
  this->Gateway.answerHeld();
  EXPECT_EQ(Caller.receive().substr(9, 3), "200");
  EXPECT_TRUE(this->Server.waitUntilIdle(milliseconds(10'000)));
}

TEST_F(CallerServerTest, BrokenHttpIsAnsweredOrClosed) {
  RawCaller Caller(this->Server.endpoint());
  Caller.send("\x01\x02 nonsense\r\n\r\n");
  Caller.receive();
  EXPECT_EQ(this->ask(query("1", "c")), "200 Ok 1");
}

} // namespace acaciacross::frontend
