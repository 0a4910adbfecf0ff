// A faulty searcher spoils the status line of some answers, so that they are no
// HTTP responses. See claim.txt.
#include "../support/standins.hpp"

#include <regex>

using namespace review;

namespace {

constexpr unsigned Requests = 600;
// The faulty one of two searchers spoils 1 of this many answers (0.05).
constexpr unsigned SpoiledEvery = 20;

std::string answerOf(const std::string &Searcher, const std::string &Id) {
  return "certificate " + Id + " of " + Searcher;
}

class Searcher {
public:
  Searcher(std::string Id, const std::string &Ip, bool IsFaulty, Record &Log)
      : Id(std::move(Id)), IsFaulty(IsFaulty), Log(Log),
        Listener(Ip, SearcherPort, [this](int Fd) { this->serve(Fd); }) {}

private:
  void serve(int Fd) {
    // A digit of the status code is lost.
    static const std::vector<std::string> SpoiledLines = {
        "HTTP/1.1 20 OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 0 OK"};
    Reader Input(Fd);
    Message Request;
    while (Input.readHead(Request, std::chrono::seconds(60))) {
      const std::string RequestId = Request.header("x-request-id");
      std::string Line = "HTTP/1.1 200 OK";
      std::string Body = answerOf(this->Id, RequestId);
      if (Request.header("x-expect-instance") != this->Id) {
        Line = "HTTP/1.1 421 Misdirected Request";
        Body.clear();
      } else {
        const unsigned Number = ++this->Count;
        if (this->IsFaulty && hasTrouble() && Number % SpoiledEvery == 0)
          Line = SpoiledLines[Number / SpoiledEvery % SpoiledLines.size()];
        this->Log.add("searcher " + this->Id + " ran " + RequestId +
                      " and answers \"" + Line + "\"");
      }
      sleepFor(milliseconds(3));
      if (!sendAll(Fd, Line + "\r\nX-Request-Id: " + RequestId +
                           "\r\nX-Server-Stamp: " + this->Id + "." + RequestId +
                           "\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  std::string Id;
  bool IsFaulty;
  Record &Log;
  std::atomic<unsigned> Count = 0;
  Server Listener;
};

int run(const std::string &Folder) {
  Record Log(environment("RECORD", "record.txt"));
  const std::string Network = freeNetwork();
  Store Platform(Network + ".250", StorePort);
  Platform.put(
      "op/config",
      "{\"version\":3,\"routes\":[{\"name\":\"r-cert\",\"host\":"
      "\"h.example\",\"prefix\":\"/cert/\",\"type\":\"idempotent\","
      "\"timeout_ms\":5000,\"latency_target_ms\":800,\"priority\":2,"
      "\"service\":\"desk\",\"max_attempts\":2}],\"services\":[{\"name\":"
      "\"desk\",\"health_path\":\"/health\",\"max_conns\":42,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":"
      "16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000}}");
  Searcher First("i-1", Network + ".101", true, Log);
  Searcher Second("i-2", Network + ".102", false, Log);
  const std::string Port = ":" + std::to_string(SearcherPort);
  Registration Entries(Platform,
                       {{"i-1", "desk", Network + ".101" + Port, "z1", 4},
                        {"i-2", "desk", Network + ".102" + Port, "z2", 4}});
  std::vector<std::unique_ptr<Node>> Nodes;
  for (int I = 1; I <= 2; ++I)
    Nodes.push_back(std::make_unique<Node>(
        "node-" + std::to_string(I), Network + "." + std::to_string(I), Network,
        "z" + std::to_string(I), Folder, 2));
  for (const auto &Entry : Nodes)
    Entry->start();
  awaitReady(Nodes);

  // RFC 9112, section 4: a status code has exactly three digits.
  const std::regex StatusLine("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
  unsigned Answered = 0;
  unsigned Invalid = 0;
  for (unsigned I = 0; I < Requests; ++I) {
    const Node &Target = *Nodes[I % Nodes.size()];
    const std::string Id = "q" + std::to_string(I);
    Log.add("caller sends " + Id + " to " + Target.Name);
    const Answer Result =
        exchange(Target.Ip,
                 "GET /cert/" + Id + " HTTP/1.1\r\nHost: h.example\r\n" +
                     "X-Request-Id: " + Id +
                     "\r\nX-Request-Deadline: 5000\r\n\r\n",
                 milliseconds(5'000));
    Log.add("caller gets " + Id + ": \"" + Result.Content.FirstLine + "\"");
    if (Result.End != Answer::Kind::Complete)
      continue;
    Answered += Result.Content.status() == 200 ? 1 : 0;
    if (std::regex_match(Result.Content.FirstLine, StatusLine))
      continue;
    ++Invalid;
    Log.add("BROKEN: the answer to " + Id + " is no HTTP response");
  }
  const std::string Summary =
      std::to_string(Answered) + " of " + std::to_string(Requests) +
      " requests got a success, " + std::to_string(Invalid) +
      " got bytes that are no HTTP response";
  Log.add(Summary);
  std::cout << Summary << "\n";
  if (Answered < Requests / 2)
    return CouldNotRun;
  return Invalid > 0 ? Broken : Held;
}

} // namespace

int main() { return runCase(run); }
