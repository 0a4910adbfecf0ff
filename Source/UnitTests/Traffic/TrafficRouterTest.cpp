#include "Traffic/TrafficRouter.h"

#include "Common/SystemClock.h"
#include "DiscardingEvidenceSink.h"
#include "RawUpstream.h"
#include "RecordingReplySink.h"
#include "ViewBuilder.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using common::ResultCode;
using std::chrono::milliseconds;

class TrafficRouterTest : public testing::Test {
protected:
  std::shared_ptr<RecordingReplySink>
  send(const char *Class, std::optional<tickets::Ticket> Ticket = {}) {
    auto Sink = std::make_shared<RecordingReplySink>();
    const auto Now = this->Time.monotonicNow();
    this->Router.submit({common::RequestId("r"), common::ClassName(Class), "b",
                         std::move(Ticket), Now, Now + milliseconds(5000)},
                        Sink);
    return Sink;
  }

  /// Returns a valid response with the attempt id of the request.
  static std::string answer(const std::string &Request) {
    const std::string Name = "X-Attempt-Id: ";
    const std::size_t Begin = Request.find(Name) + Name.size();
    const std::string Id =
        Request.substr(Begin, Request.find('\r', Begin) - Begin);
    const std::string Body = R"({"attempt_id":")" + Id +
                             R"(","snapshot":"s","shard":3,"range_begin":0,)" +
                             R"("range_end":9,"body":"found"})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  common::SystemClock Time;
  DiscardingEvidenceSink Evidence;
  RawUpstream Upstream{
      [](std::size_t, const std::string &Request) { return answer(Request); }};
  TrafficRouter Router{
      {{common::VmId("e"), {"127.0.0.1", 1}, common::Incarnation(7), {}, 9}, 1},
      this->Time,
      this->Evidence};
};

TEST_F(TrafficRouterTest, RequestBeforeAnyViewIsRefused) {
  EXPECT_EQ(this->send("read")->refusal(), ResultCode::NotServing);
}

TEST_F(TrafficRouterTest, RequestRunsOnTheServiceOfItsClass) {
  this->Router.onView(makeView(this->Upstream.endpoint()));
  const TrafficReply Reply = this->send("read")->first();
  const auto &Answer = std::get<query::CompleteAnswer>(*Reply.Result);
  ASSERT_EQ(Answer.ShardAnswers.size(), 1U);
  EXPECT_EQ(Answer.ShardAnswers[0].Body, "found");
}

TEST_F(TrafficRouterTest, UnknownClassAndServiceAreRefused) {
  auto View = makeView(this->Upstream.endpoint());
  View->Classes[common::ClassName("read")].Service = common::ServiceName("no");
  this->Router.onView(View);
  EXPECT_EQ(this->send("other")->refusal(), ResultCode::UnknownClass);
  EXPECT_EQ(this->send("read")->refusal(), ResultCode::UnknownService);
}

TEST_F(TrafficRouterTest, TicketOfAnotherIncarnationNamesItsOwner) {
  this->Router.onView(makeView(this->Upstream.endpoint()));
  tickets::Ticket Foreign;
  Foreign.Issuer = common::Incarnation(8);
  Foreign.Owner = {"127.0.0.2", 7101};
  const auto Sink = this->send("book", Foreign);
  EXPECT_EQ(Sink->failure(), ResultCode::TicketOwnedElsewhere);
  EXPECT_EQ(Sink->first().TicketOwner, Foreign.Owner);
}

// A request after the stop must get a reply, because its caller's connection
// waits for one.
TEST_F(TrafficRouterTest, RequestAfterStopIsRefused) {
  this->Router.onView(makeView(this->Upstream.endpoint()));
  this->Router.stop(milliseconds(0));
  EXPECT_EQ(this->send("read")->refusal(), ResultCode::NotServing);
}

} // namespace acaciacross::traffic
