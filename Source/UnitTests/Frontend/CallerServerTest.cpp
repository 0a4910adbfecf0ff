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
  void requestEntriesAfter(std::uint64_t Sequence,
                           std::shared_ptr<AuditSink> Sink) override {
    Sink->onEntries({{Sequence + 1, {}, "service", "classes", "accepted"}});
  }

  static CallerServerSettings makeSettings() {
    CallerServerSettings Settings;
    Settings.ListenAddress = {"127.0.0.1", 0};
    Settings.MaxBodyBytes = 2000;
    Settings.ReadTimeout = milliseconds(300);
    return Settings;
  }

  static std::string queryBody(const std::string &Id,
                               const std::string &Class) {
    return R"({"id":")" + Id + R"(","class":")" + Class +
           R"(","deadline_ms":1000,"body":"of )" + Id + R"("})";
  }

  std::string sendAndReceive(const std::string &Line,
                             const std::string &Body = "") {
    RawCaller Caller(this->Server.endpoint());
    Caller.sendRequest(Line, Body);
    return Caller.receive();
  }

  static json::JsonObject bodyOf(const std::string &Response) {
    const auto Body = Response.substr(Response.find("\r\n\r\n") + 4);
    return json::JsonObject::parse(Body).value_or(json::JsonObject());
  }

  /// Sends a query body and returns "<status> <result> <id>" of the response.
  std::string sendQuery(const std::string &Body) {
    const std::string Response = this->sendAndReceive("POST /v1/query", Body);
    const auto Object = bodyOf(Response);
    return Response.substr(9, 3) + " " +
           Object.string("result").value_or("none") + " " +
           Object.string("id").value_or("none");
  }

  common::SystemClock Clock;
  common::SeededRandom Random{1};
  FakeGateway Gateway;
  CallDispatcher Dispatcher{common::VmId("entry-1"),
                            common::Incarnation(~0ULL),
                            this->Gateway,
                            *this,
                            this->Clock,
                            this->Random};
  CallerServer Server{makeSettings(), this->Dispatcher, this->Clock};
};

TEST_F(CallerServerTest, InterleavedAnswersReachTheirCallers) {
  RawCaller First(this->Server.endpoint());
  RawCaller Second(this->Server.endpoint());
  First.sendRequest("POST /v1/query", queryBody("1", "held"));
  Second.sendRequest("POST /v1/query", queryBody("2", "held"));
  this->Gateway.waitUntilHeld(2);
  this->Gateway.answerHeld();
  EXPECT_NE(First.receive().find(R"("body":"of 1")"), std::string::npos);
  EXPECT_NE(Second.receive().find(R"("body":"of 2")"), std::string::npos);
}

// Without the id a caller cannot tell which request was refused, and may repeat
// the wrong one.
TEST_F(CallerServerTest, RefusedBodyIsAnsweredWithItsId) {
  const std::string BodyStart = R"({"id":"7","class":"c","deadline_ms":)";
  EXPECT_EQ(this->sendQuery(BodyStart + R"(9,"body":""})"), "200 Ok 7");
  for (const char *BodyEnd :
       {R"(9})", R"(0,"body":""})", R"("9","body":""})", R"(-9,"body":""})",
        R"(9,"body":""} x)", R"(9,"body":"","other":1})", R"(9,"body":"")",
        R"(9,"body":7})", R"(9,"body":"","ticket":null})"})
    EXPECT_EQ(this->sendQuery(BodyStart + BodyEnd), "400 MalformedRequest 7")
        << BodyEnd;
  EXPECT_EQ(this->sendQuery(BodyStart + R"(9,"body":"","ticket":"t1"})"),
            "400 TicketMalformed 7");
  EXPECT_EQ(
      this->sendQuery(BodyStart + R"(9,"body":")" + std::string(5000, 'x')),
      "413 RequestTooLarge 7");
}

// The id becomes a header of the request to upstreams, so a line break would
// inject another header.
TEST_F(CallerServerTest, IdWithLineBreakIsRefused) {
  EXPECT_EQ(this->sendQuery(
                R"({"id":"7\r\nX: y","class":"c","deadline_ms":9,"body":""})"),
            "400 MalformedRequest 7\r\nX: y");
}

TEST_F(CallerServerTest, UnknownPathIsNotFound) {
  EXPECT_EQ(this->sendAndReceive("GET /v2/query").substr(9, 3), "404");
  EXPECT_EQ(this->sendAndReceive("GET /v1/query").substr(9, 3), "404");
}

TEST_F(CallerServerTest, RefusedTicketRequestStatesTheReason) {
  const std::string Response =
      this->sendAndReceive("POST /v1/tickets", R"({"class":"c"})");
  EXPECT_EQ(Response.substr(9, 3), "503");
  EXPECT_EQ(bodyOf(Response).string("result"), "TicketTableFull");
}

TEST_F(CallerServerTest, OperatorPagesAreAnswered) {
  const auto Status = bodyOf(this->sendAndReceive("GET /v1/status"));
  EXPECT_EQ(Status.string("state"), "joining");
  EXPECT_EQ(Status.string("incarnation"), "18446744073709551615");
  EXPECT_NE(this->sendAndReceive("GET /metrics").find("# TYPE"),
            std::string::npos);
  EXPECT_NE(
      this->sendAndReceive("GET /v1/audit?after=4").find(R"("sequence":5)"),
      std::string::npos);
  EXPECT_EQ(this->sendAndReceive("GET /v1/audit?after=x").substr(9, 3), "400");
}

// A caller would keep an empty list for its validity and not ask again.
TEST_F(CallerServerTest, AddressesNameServingVmAndAreRefusedBeforeItServes) {
  EXPECT_EQ(this->sendAndReceive("GET /v1/addresses").substr(9, 3), "503");
  this->Gateway.View->State = membership::ServingState::Serving;
  this->Gateway.View->EntryVms.push_back(
      {common::VmId("entry-1"), {"127.0.0.1", 7101}, "rack-a", {}});
  const std::string Response = this->sendAndReceive("GET /v1/addresses");
  EXPECT_NE(Response.find(R"({"addresses":[{"host":"127.0.0.1","port":7101,)"
                          R"("domain":"rack-a"}],"valid_ms":3000})"),
            std::string::npos)
      << Response;
}

// A caller that keeps sending single bytes never reaches an idle timeout and
// would hold its connection for ever.
TEST_F(CallerServerTest, SlowlySendingCallerIsDisconnectedAndOthersAreServed) {
  RawCaller Slow(this->Server.endpoint());
  RawCaller SlowBody(this->Server.endpoint());
  SlowBody.send("POST /v1/query HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 1000000\r\n\r\n");
  const auto StartedAt = this->Clock.monotonicNow();
  bool IsOpen = true;
  bool IsBodyOpen = true;
  while ((IsOpen || IsBodyOpen) &&
         this->Clock.monotonicNow() - StartedAt < std::chrono::seconds(20)) {
    IsOpen = IsOpen && Slow.send("G");
    IsBodyOpen = IsBodyOpen && SlowBody.send(" ");
    EXPECT_EQ(this->sendQuery(queryBody("1", "c")), "200 Ok 1");
  }
  EXPECT_FALSE(IsOpen);
  EXPECT_FALSE(IsBodyOpen);
}

// Without a response the caller cannot know that its request did not run.
TEST_F(CallerServerTest, SlowlyArrivingBodyIsRefusedAndNotRun) {
  RawCaller Caller(this->Server.endpoint());
  const std::string Body = queryBody("7", "held");
  Caller.send("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" +
              Body.substr(0, Body.size() - 1));
  const std::string Response = Caller.receive();
  EXPECT_EQ(bodyOf(Response).string("result"), "RequestTooSlow") << Response;
  EXPECT_EQ(bodyOf(Response).unsignedInteger("result_code"), 112U);
  EXPECT_EQ(bodyOf(Response).string("run"), "not_run");
  // The rest of the body arrives after the refusal.
  Caller.send("}");
  EXPECT_EQ(Caller.receive(), "");
  EXPECT_EQ(this->Gateway.heldCount(), 0U);
}

// A server that waits for the end of the body would never refuse such a
// request.
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

// A planned stop must not lose a request, even on a connection that was idle
// when the stop began.
TEST_F(CallerServerTest, IdleConnectionsAreServedUntilTheyAreClosed) {
  RawCaller First(this->Server.endpoint());
  RawCaller Second(this->Server.endpoint());
  RawCaller Third(this->Server.endpoint());
  for (RawCaller *Caller : {&First, &Second, &Third}) {
    Caller->sendRequest("POST /v1/query", queryBody("1", "c"));
    EXPECT_EQ(Caller->receive().find("Connection: close"), std::string::npos);
  }
  this->Server.startLeaving();
  First.sendRequest("POST /v1/query", queryBody("2", "c"));
  EXPECT_NE(First.receive().find("Connection: close"), std::string::npos);
  this->Server.closePort();
  Second.sendRequest("POST /v1/query", queryBody("3", "held"));
  this->Gateway.waitUntilHeld(1);
  EXPECT_FALSE(this->Server.closeConnections(milliseconds(200)));
  EXPECT_EQ(Third.receive(), "");
  this->Gateway.answerHeld();
  EXPECT_NE(Second.receive().find(R"("body":"of 3")"), std::string::npos);
  EXPECT_TRUE(this->Server.closeConnections(milliseconds(10'000)));
}

// A request that races with closeConnections must get its response, whether the
// server reads it before or after.
TEST_F(CallerServerTest, RequestSentJustBeforeTheCloseIsServed) {
  for (int Round = 0; Round < 50; ++Round) {
    CallerServer Leaving(makeSettings(), this->Dispatcher, this->Clock);
    RawCaller Caller(Leaving.endpoint());
    Caller.sendRequest("POST /v1/query", queryBody("1", "c"));
    Caller.receive();
    Leaving.startLeaving();
    Leaving.closePort();
    Caller.sendRequest("POST /v1/query", queryBody("2", "c"));
    EXPECT_TRUE(Leaving.closeConnections(milliseconds(10'000)));
    ASSERT_NE(Caller.receive().find(R"("body":"of 2")"), std::string::npos)
        << Round;
  }
}

// The read timeout must not run while the request is being processed.
TEST_F(CallerServerTest, CallerWaitingLongerThanTheReadTimeIsAnswered) {
  RawCaller Caller(this->Server.endpoint());
  Caller.sendRequest("POST /v1/query", queryBody("1", "held"));
  this->Gateway.waitUntilHeld(1);
  EXPECT_FALSE(this->Server.waitUntilIdle(milliseconds(600)));
  this->Gateway.answerHeld();
  EXPECT_EQ(Caller.receive().substr(9, 3), "200");
  EXPECT_TRUE(this->Server.waitUntilIdle(milliseconds(10'000)));
}

// Malformed input must not affect other connections.
TEST_F(CallerServerTest, MalformedHttpLeavesServerUsable) {
  RawCaller Caller(this->Server.endpoint());
  Caller.send("\x01\x02 nonsense\r\n\r\n");
  Caller.receive();
  EXPECT_EQ(this->sendQuery(queryBody("1", "c")), "200 Ok 1");
}

} // namespace acaciacross::frontend
