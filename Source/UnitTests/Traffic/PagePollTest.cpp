#include "Traffic/CurlAttemptSender.h"

#include "Common/SystemClock.h"
#include "RawUpstream.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using std::chrono::milliseconds;
using upstreams::HealthStatus;

class PagePollTest : public testing::Test {
protected:
  static std::string makeResponse(const std::string &Status,
                                  const std::string &Body,
                                  const std::string &Extra = "") {
    return "HTTP/1.1 " + Status + "\r\n" + Extra +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  FinishedPoll poll(const common::Address &Endpoint, PageKind Kind) {
    this->Sender.startPoll({common::SearcherIndex(0), Endpoint, Kind});
    return this->awaitPoll();
  }

  FinishedPoll awaitPoll() {
    std::vector<FinishedPoll> Finished = this->Sender.takeFinishedPolls();
    while (Finished.empty()) {
      this->Sender.perform();
      Finished = this->Sender.takeFinishedPolls();
      if (Finished.empty())
        this->Sender.wait(milliseconds(1000));
    }
    EXPECT_EQ(Finished.size(), 1U);
    return Finished[0];
  }

  /// The status in the polled page; empty if the response gives no page.
  std::optional<HealthStatus> healthOf(const std::string &Response) {
    RawUpstream Upstream(
        [&](std::size_t, const std::string &) { return Response; });
    const FinishedPoll Finished =
        this->poll(Upstream.endpoint(), PageKind::Health);
    EXPECT_EQ(Upstream.requests().at(0).substr(0, 22),
              "GET /health HTTP/1.1\r\n");
    if (!Finished.Page)
      return std::nullopt;
    return std::get<upstreams::HealthPage>(Finished.Page->Page).Status;
  }

  common::SystemClock Time;
  CurlAttemptSender Sender{Time};
};

TEST_F(PagePollTest, HealthResponsesGiveTheirStatus) {
  const std::string Rest = R"(,"snapshots":["s"],"cold":false})";
  const std::string Serving = R"({"status":"serving")" + Rest;
  EXPECT_EQ(this->healthOf(makeResponse("200 OK", Serving)),
            HealthStatus::InService);
  EXPECT_EQ(
      this->healthOf(makeResponse("200 OK", R"({"status":"leaving")" + Rest)),
      HealthStatus::Draining);
  // The header is set in every response and, unlike the page, is never stale.
  EXPECT_EQ(
      this->healthOf(makeResponse("200 OK", Serving, "X-Draining: 1\r\n")),
      HealthStatus::Draining);
  EXPECT_EQ(this->healthOf(makeResponse("500 Fault", "")),
            HealthStatus::Failing);
}

// An invalid page must not count as evidence about the searcher.
TEST_F(PagePollTest, InvalidHealthResponsesGiveNoPage) {
  for (const char *Body :
       {"", "{", "[]", R"({"status":"serving"})",
        R"({"status":"serving","snapshots":[],"cold":0})",
        R"({"status":"serving","snapshots":[],"cold":"no"})",
        R"({"status":"other","snapshots":[],"cold":false})",
        R"({"status":7,"snapshots":[],"cold":false})",
        R"({"status":"serving","snapshots":[],"cold":false} x)"})
    EXPECT_FALSE(this->healthOf(makeResponse("200 OK", Body))) << Body;
  EXPECT_FALSE(this->healthOf(makeResponse("404 No", "")));
  EXPECT_FALSE(
      this->healthOf(makeResponse("200 OK", std::string(100'000, ' '))));
  EXPECT_FALSE(this->healthOf(""));
}

TEST_F(PagePollTest, LoadResponseGivesItsNumbersOrNothing) {
  std::string Body;
  RawUpstream Upstream([&](std::size_t, const std::string &) {
    return makeResponse("200 OK", Body);
  });
  Body = R"({"busy":1,"queued":4294967295,"slots":2})";
  const FinishedPoll Valid = this->poll(Upstream.endpoint(), PageKind::Load);
  ASSERT_TRUE(Valid.Page);
  const auto Page = std::get<upstreams::LoadPage>(Valid.Page->Page);
  EXPECT_EQ(Page.Busy, 1U);
  EXPECT_EQ(Page.Queued, 4294967295U);
  EXPECT_EQ(Page.Slots, 2U);
  for (const char *Invalid :
       {R"({"busy":1,"queued":4294967296,"slots":2})",
        R"({"busy":-1,"queued":0,"slots":2})",
        R"({"busy":1,"queued":0,"slots":0})",
        R"({"busy":1.5,"queued":0,"slots":2})", R"({"busy":1,"queued":0})"}) {
    Body = Invalid;
    EXPECT_FALSE(this->poll(Upstream.endpoint(), PageKind::Load).Page)
        << Invalid;
  }
}

TEST_F(PagePollTest, RefusedConnectionGivesStatusRefused) {
  common::Address Unused;
  {
    RawUpstream Upstream(
        [](std::size_t, const std::string &) { return std::string(); });
    Unused = Upstream.endpoint();
  }
  const FinishedPoll Finished = this->poll(Unused, PageKind::Health);
  ASSERT_TRUE(Finished.Page);
  EXPECT_EQ(std::get<upstreams::HealthPage>(Finished.Page->Page).Status,
            HealthStatus::Refused);
}

// Guards against a poll without a response that keeps an attempt from using the
// last connection.
TEST_F(PagePollTest, AttemptThatNeedsTheConnectionAbortsThePoll) {
  RawUpstream Upstream([](std::size_t Number, const std::string &) {
    return Number == 0 ? std::string("HTTP/1.1 200 OK\r\n")
                       : makeResponse("503 Shed", "");
  });
  this->Sender.setConnectionLimits(1, 1);
  this->Sender.startPoll(
      {common::SearcherIndex(0), Upstream.endpoint(), PageKind::Health});
  while (Upstream.requests().empty()) {
    this->Sender.perform();
    this->Sender.wait(milliseconds(10));
  }
  EXPECT_FALSE(this->Sender.hasFreeConnection(common::SearcherIndex(0)));
  query::AttemptSpec Spec;
  Spec.Id = {common::Incarnation(7), 0};
  Spec.Endpoint = Upstream.endpoint();
  Spec.Deadline = this->Time.monotonicNow() + milliseconds(5000);
  this->Sender.start(Spec);
  EXPECT_FALSE(this->awaitPoll().Page);
  std::vector<EndedAttempt> Ended = this->Sender.perform();
  while (Ended.empty()) {
    this->Sender.wait(milliseconds(1000));
    Ended = this->Sender.perform();
  }
  EXPECT_EQ(Ended[0].Result.Status, query::AttemptStatus::Shed);
  // The poll's connection still counts until the upstream has seen its end.
  const auto Limit = this->Time.monotonicNow() + milliseconds(5000);
  while (!this->Sender.hasFreeConnection(common::SearcherIndex(0)) &&
         this->Time.monotonicNow() < Limit) {
    this->Sender.perform();
    this->Sender.wait(milliseconds(10));
  }
  EXPECT_TRUE(this->Sender.hasFreeConnection(common::SearcherIndex(0)));
}

} // namespace acaciacross::traffic
