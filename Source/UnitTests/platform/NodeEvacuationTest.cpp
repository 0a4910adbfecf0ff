#include "NodeTrafficFixture.h"

namespace acaciacross::adapter {

/// Two searchers in the failure domains "z1", that of the VM, and "z2".
class NodeEvacuationTest : public NodeTrafficFixture {
protected:
  void publish(std::set<std::string> Evacuated) {
    for (const char *Domain : {"z1", "z2"}) {
      this->Asked.push_back(
          &this->addSearcher("p", [](std::size_t, const std::string &) {
            return makeResponse("bytes");
          }));
      this->Searchers.back().FailureDomain = Domain;
    }
    this->EvacuatedDomains = std::move(Evacuated);
    this->publishConfiguration();
  }

  std::vector<Upstream *> Asked;
};

TEST_F(NodeEvacuationTest, SearcherInAnEvacuatedDomainGetsNoRequest) {
  this->publish({"z1"});
  for (int I = 0; I < 40; ++I)
    EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "200"));
  EXPECT_TRUE(this->Asked[0]->requests().empty());
  EXPECT_EQ(this->Asked[1]->requests().size(), 40U);
  EXPECT_TRUE(contains(this->metrics(), "acaciacross_evacuated_domains 1\n"));
}

TEST_F(NodeEvacuationTest, CallerIsRefusedAtOnceWhenAllDomainsAreEvacuated) {
  this->publish({"z1", "z2"});
  const auto Begin = std::chrono::steady_clock::now();
  const std::string Answer = this->sendRequest("GET /plain/x");
  EXPECT_LT(std::chrono::steady_clock::now() - Begin,
            std::chrono::milliseconds(500));
  EXPECT_TRUE(contains(Answer, "503")) << Answer;
  EXPECT_TRUE(contains(Answer, "NoUsableReplica")) << Answer;
  EXPECT_TRUE(contains(Answer, "Retry-After: ")) << Answer;
  EXPECT_TRUE(this->Asked[0]->requests().empty());
  EXPECT_TRUE(this->Asked[1]->requests().empty());
}

} // namespace acaciacross::adapter
