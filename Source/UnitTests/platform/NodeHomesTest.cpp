#include "NodeTrafficFixture.h"

namespace acaciacross::adapter {

/// A VM in the region "r1" that also knows "r2"; the routes have homes.
class NodeHomesTest : public NodeTrafficFixture {
protected:
  NodeHomesTest() {
    this->Settings.RegionByDomain = {{"z1", "r1"}, {"z2", "r2"}};
  }

  void publish(std::vector<std::string> Homes) {
    this->addSearcher("p", [](std::size_t, const std::string &) {
      return makeResponse("bytes");
    });
    this->Searchers.back().FailureDomain = "z1";
    this->AllowedRegions = std::move(Homes);
    this->publishConfiguration();
  }

  std::string resolve(const std::string &Query) const {
    frontend::RawCaller Caller(this->Settings.DirectoryAddress);
    Caller.send("GET /api/resolve?" + Query + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return Caller.receive();
  }
};

TEST_F(NodeHomesTest, RequestReachesOnlySearchersInTheHomesOfItsRoute) {
  this->publish({"r1"});
  EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "200"));
}

TEST_F(NodeHomesTest, RequestWithoutASearcherInItsHomesIsRefused) {
  this->publish({"r2"});
  EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "NoUsableReplica"));
  EXPECT_TRUE(this->Upstreams.front()->requests().empty());
}

// The bodies of the requests would leave the homes and the caller's region.
TEST_F(NodeHomesTest, VmElsewhereIsNotNamedForAHostWithHomes) {
  this->publish({"r2"});
  const std::string ThisVm = this->Settings.CallerAddress.toString();
  EXPECT_TRUE(contains(this->resolve("name=h&region=r2&zone=z2"), "503"));
  EXPECT_TRUE(contains(this->resolve("name=h&region=r1&zone=z1"), ThisVm));
  EXPECT_TRUE(contains(this->resolve("name=other&region=r2&zone=z2"), ThisVm));
}

} // namespace acaciacross::adapter
