// The platform's limit on memory, and ordinary callers on kept connections
// whose requests are lost when a process ends.
#ifndef REVIEW_SUPPORT_2_LOST_HH
#define REVIEW_SUPPORT_2_LOST_HH

#include "harness.hh"

#include <algorithm>

namespace review {

/// Sound searchers of the service "desk", and callers that ask them one
/// request after another, each on one kept connection.
class OrdinaryTraffic {
public:
  static constexpr int Searchers = 20;
  static constexpr int Slots = 4;
  static constexpr int MaxConnections = 42;
  static constexpr int Callers = 20;
  static constexpr std::int64_t WorkMs = 220;

  OrdinaryTraffic(const std::string &Network, Store &Published)
      : Upstream([this](std::uint64_t Connection, int,
                        const Message &Request) {
          const std::string Id = Request.header("x-request-id");
          {
            const std::lock_guard Guard(this->Mutex);
            this->Arrived.insert(Id);
          }
          this->Upstream.after(WorkMs, [this, Connection, Id] {
            this->Upstream.reply(Connection,
                                 response(200,
                                          "X-Request-Id: " + Id +
                                              "\r\nX-Server-Stamp: s\r\n"
                                              "X-Server-Load: 1,0,4\r\n",
                                          std::string(6'000, 'r')));
          });
        }) {
    for (int I = 0; I < Searchers; ++I) {
      const int Port = 30000 + I;
      this->Upstream.listen(Network + ".200", Port);
      Published.put("servers/i-desk-" + std::to_string(I),
                    searcherEntry("desk",
                                  Network + ".200:" + std::to_string(Port),
                                  Slots));
    }
    this->Upstream.start();
  }
  ~OrdinaryTraffic() { this->stop(); }

  static std::string route() {
    return "{\"name\":\"ordinary\",\"host\":\"h.example\",\"prefix\":"
           "\"/ordinary/\",\"type\":\"idempotent\",\"timeout_ms\":5000,"
           "\"latency_target_ms\":800,\"priority\":2,\"service\":\"desk\","
           "\"max_attempts\":2}";
  }
  static std::string service() {
    return "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":" +
           std::to_string(MaxConnections) + "}";
  }

  void start(const std::string &Host) {
    for (int I = 0; I < Callers; ++I)
      this->Threads.emplace_back([this, Host, I] { this->call(Host, I); });
  }
  void stop() {
    this->Ends = true;
    for (std::thread &Each : this->Threads)
      Each.join();
    this->Threads.clear();
    this->Upstream.stop();
  }
  int answered() const { return this->Answered; }
  /// Requests on kept connections that a searcher had, and whose connection
  /// was closed without an answer.
  int lost() {
    const std::lock_guard Guard(this->Mutex);
    return static_cast<int>(
        std::ranges::count_if(this->Closed, [this](const std::string &Id) {
          return this->Arrived.count(Id) > 0;
        }));
  }

private:
  void call(const std::string &Host, int Caller) {
    Client Connection;
    if (!Connection.open(Host, FrontPort))
      return;
    for (int Number = 0; !this->Ends; ++Number) {
      const std::string Id = "ordinary-" + std::to_string(Caller) + "-" +
                             std::to_string(Number);
      Connection.sendSome(requestHead("GET", "/ordinary/a", Id, 5'000), 500);
      if (Connection.receive(6'000)) {
        ++this->Answered;
        continue;
      }
      const std::lock_guard Guard(this->Mutex);
      if (Number > 0)
        this->Closed.push_back(Id);
      return;
    }
  }

  std::mutex Mutex;
  std::set<std::string> Arrived;
  std::vector<std::string> Closed;
  std::atomic<int> Answered{0};
  std::atomic<bool> Ends{false};
  std::vector<std::thread> Threads;
  Server Upstream;
};

/// Kills the process once what it holds exceeds its machine's memory, as the
/// platform does. Returns the most that it held, in kB.
inline std::size_t watchMemory(Node &Watched,
                               const std::function<std::size_t()> &OtherKb,
                               std::int64_t ForMs, Record &Log) {
  const std::size_t LimitKb =
      static_cast<std::size_t>(Watched.options().MemoryMegabytes) * 1024;
  std::size_t PeakKb = 0;
  for (const std::int64_t End = nowMs() + ForMs; nowMs() < End;) {
    if (Watched.hasEnded()) {
      Log.line("the node has ended by itself");
      break;
    }
    const std::size_t ResidentKb = Watched.statusKb("VmRSS");
    const std::size_t HeldKb = ResidentKb + OtherKb();
    PeakKb = std::max(PeakKb, HeldKb);
    if (HeldKb > LimitKb) {
      Log.line("the node holds " + std::to_string(HeldKb) + " kB (resident " +
               std::to_string(ResidentKb) + " kB) of " +
               std::to_string(LimitKb) + " kB: the platform kills it");
      Watched.kill();
      break;
    }
    sleepMs(5);
  }
  return PeakKb;
}

/// The rule: more than three times.
constexpr int LostAllowed = 3;

} // namespace review

#endif
