#include "NodeTrafficFixture.h"

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace acaciacross::adapter {

using NodePagesTest = NodeTrafficFixture;

// Requests that arrive during a planned stop must not be lost: the VM reports
// that it is not ready, still answers, and then closes the connection.
TEST_F(NodePagesTest, StoppingVmIsNotReadyAndClosesAfterAnswers) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("bytes");
  });
  this->publishConfiguration();
  const auto Readiness = [this] {
    frontend::RawCaller Caller(this->Settings.ReadinessAddress);
    Caller.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return Caller.receive();
  };
  EXPECT_TRUE(contains(Readiness(), "200"));
  this->Thread->beginStop(membership::StopSchedule::of(
      this->Time.monotonicNow(), this->Settings.StopLimit));
  EXPECT_TRUE(contains(Readiness(), "503"));
  const std::string Answer = this->sendRequest("GET /safe/x");
  EXPECT_TRUE(contains(Answer, "200")) << Answer;
  EXPECT_TRUE(contains(Answer, "Connection: close")) << Answer;
}

// Callers must not be sent to a VM without a configuration or to one that
// stops.
TEST_F(NodePagesTest, DirectoryListsThisVmWhileItServes) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("bytes");
  });
  const auto Addresses = [this] {
    frontend::RawCaller Caller(this->Settings.DirectoryAddress);
    Caller.send("GET /api/resolve?name=h&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n");
    return Caller.receive();
  };
  EXPECT_TRUE(contains(Addresses(), "503"));
  this->publishConfiguration();
  EXPECT_TRUE(contains(Addresses(), this->Settings.CallerAddress.toString()));
  this->Thread->beginStop(membership::StopSchedule::of(
      this->Time.monotonicNow(), this->Settings.StopLimit));
  EXPECT_TRUE(contains(Addresses(), "503"));
}

TEST_F(NodePagesTest, MetricsCountAnswersByRoute) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("bytes");
  });
  this->publishConfiguration();
  this->sendRequest("GET /safe/x");
  const std::string Page = this->metrics();
  EXPECT_TRUE(contains(Page, "acaciacross_answers_total{route=\"/safe/\","
                             "kind=\"upstream\",result=\"Ok\"} 1"))
      << Page;
}

// Guards against metrics that are missing from the operators' page, and against
// documented metrics that are never written.
TEST_F(NodePagesTest, OperatorsPageListsEveryMetric) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("bytes");
  });
  this->publishConfiguration();
  this->sendRequest("GET /safe/x");
  this->sendRequest("GET /nothing/x");
  const std::regex Name("acaciacross_[a-z_]+");
  const auto NamesIn = [&Name](const std::string &Text) {
    std::set<std::string> Names;
    for (std::sregex_iterator It(Text.begin(), Text.end(), Name), End;
         It != End; ++It)
      Names.insert(It->str());
    return Names;
  };
  std::ifstream File(std::string(ACACIACROSS_DOCS_DIR) + "/OPERATIONS.md");
  std::stringstream Page;
  Page << File.rdbuf();
  std::string Types;
  std::istringstream Lines(this->metrics());
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with("# TYPE "))
      Types += Line + "\n";
  EXPECT_EQ(NamesIn(Types), NamesIn(Page.str()));
}

} // namespace acaciacross::adapter
