#include "platform/StoreClient.h"

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Http/HttpServer.h"
#include "StandIns/Http/UnlimitedConnections.h"
#include "TestSupport/FindFreeAddress.h"

#include <gtest/gtest.h>

namespace acaciacross::adapter {

using common::StorePosition;

/// A store over loopback that answers with a header as set.
class StoreClientTest : public testing::Test, private standins::HttpHandler {
protected:
  standins::HttpResponse handle(const standins::HttpRequest &) override {
    standins::HttpResponse Reply;
    Reply.Body = R"({"items":[{"key":"a","value":"","revision":3}],"as_of":7})";
    if (this->Era)
      Reply.Headers["Store-Era"] = *this->Era;
    return Reply;
  }
  void stop() override {}

  discovery::StorePage read(std::optional<std::string> Told) {
    this->Era = std::move(Told);
    return this->Client.readPage("", discovery::ReadConsistency::Current);
  }

  std::optional<std::string> Era;
  common::Address Server = testsupport::findFreeAddress();
  standins::UnlimitedConnections Connections;
  standins::HttpServer Store{this->Server, *this, this->Connections};
  platform::HttpFetcher Fetcher;
  std::function<bool()> NeverCancelled = [] { return false; };
  StoreClient Client{this->Server, this->Fetcher, this->NeverCancelled};
};

TEST_F(StoreClientTest, EraOfAnAnswerIsInItsPosition) {
  EXPECT_EQ(this->read("12").Position, StorePosition(12, 7));
  EXPECT_EQ(this->read(std::nullopt).Position, StorePosition(0, 7));
  EXPECT_EQ(this->read(std::nullopt).InvalidEra, "");
}

// A very large era would hide all later ones.
TEST_F(StoreClientTest, InvalidEraCountsAsNone) {
  for (const char *Told :
       {"x", "-1", "3.5", "99999999999", "18446744073709551617", "3, 4"}) {
    const discovery::StorePage Page = this->read(Told);
    EXPECT_EQ(Page.Position, StorePosition(0, 7)) << Told;
    EXPECT_EQ(Page.InvalidEra, Told);
  }
}

} // namespace acaciacross::adapter
