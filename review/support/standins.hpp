// Stand-ins for the store, the searchers and the callers of the users'
// platform, and control of acaciacross-node processes, for the cases of this
// folder. Blocking sockets and a thread for each connection are enough here.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit statuses of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

inline std::string environment(const char *Name, const std::string &Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : Value;
}

inline bool hasTrouble() { return environment("TROUBLE", "1") != "0"; }

inline void sleepFor(milliseconds Time) { std::this_thread::sleep_for(Time); }

// What was sent, answered and run, one line each, with the time since the
// start in milliseconds.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void add(const std::string &Line) {
    const std::lock_guard Guard(this->Mutex);
    this->File << std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                           this->Start)
                      .count()
               << " " << Line << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  Clock::time_point Start = Clock::now();
};

// --- sockets ---------------------------------------------------------------

inline sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

struct SocketOptions {
  int MaxSegment = 0;    // bytes; 0: default
  int ReceiveBuffer = 0; // bytes; 0: default
};

inline void apply(int Fd, const SocketOptions &Options) {
  if (Options.ReceiveBuffer > 0)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Options.ReceiveBuffer, sizeof(int));
  if (Options.MaxSegment > 0)
    setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Options.MaxSegment, sizeof(int));
}

inline int listenAt(const std::string &Ip, int Port,
                    const SocketOptions &Options = {}) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  apply(Fd, Options);
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) !=
          0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    throw std::runtime_error("cannot listen at " + Ip + ":" +
                             std::to_string(Port));
  }
  return Fd;
}

inline int connectTo(const std::string &Ip, int Port,
                     const SocketOptions &Options = {}) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  apply(Fd, Options);
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

inline bool sendAll(int Fd, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count = send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

// --- HTTP ------------------------------------------------------------------

struct Message {
  std::string FirstLine;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;

  std::string header(const std::string &Name) const {
    const auto Found = this->Headers.find(Name);
    return Found == this->Headers.end() ? "" : Found->second;
  }
  // Of a request.
  std::string method() const {
    return this->FirstLine.substr(0, this->FirstLine.find(' '));
  }
  std::string target() const {
    const std::size_t Begin = this->FirstLine.find(' ') + 1;
    return this->FirstLine.substr(Begin,
                                  this->FirstLine.find(' ', Begin) - Begin);
  }
  std::string parameter(const std::string &Name) const {
    const std::string Target = this->target();
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      const std::size_t End = Target.find('&', At + 1);
      const std::string Part = Target.substr(At + 1, End - At - 1);
      if (Part.rfind(Name + "=", 0) == 0)
        return Part.substr(Name.size() + 1);
      At = End;
    }
    return "";
  }
  // Of a response.
  int status() const {
    return this->FirstLine.size() < 12
               ? 0
               : std::atoi(this->FirstLine.substr(9, 3).c_str());
  }
};

// Reads messages with a Content-Length from a connection.
class Reader {
public:
  explicit Reader(int Descriptor) : Fd(Descriptor) {}

  // Reads up to the end of the head. Returns false at the end of the
  // connection or after the timeout.
  bool readHead(Message &Result, milliseconds Timeout) {
    const auto Due = Clock::now() + Timeout;
    std::size_t End = 0;
    while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!this->fill(Due))
        return false;
    std::istringstream Head(this->Buffer.substr(0, End));
    this->Buffer.erase(0, End + 4);
    Result = Message();
    std::getline(Head, Result.FirstLine);
    if (!Result.FirstLine.empty() && Result.FirstLine.back() == '\r')
      Result.FirstLine.pop_back();
    std::string Line;
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), [](char C) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
      });
      const std::size_t Begin = Line.find_first_not_of(" \t", Colon + 1);
      Result.Headers[Name] =
          Begin == std::string::npos ? "" : Line.substr(Begin);
    }
    return true;
  }

  // Reads a body with a Content-Length. Returns whether it was complete; what
  // arrived is in the message in any case.
  bool readBody(Message &Result, milliseconds Timeout) {
    const auto Due = Clock::now() + Timeout;
    const std::size_t Length = static_cast<std::size_t>(
        std::atoll(Result.header("content-length").c_str()));
    while (this->Buffer.size() < Length)
      if (!this->fill(Due))
        break;
    Result.Body = this->Buffer.substr(0, Length);
    this->Buffer.erase(0, Result.Body.size());
    return Result.Body.size() == Length;
  }

  // Reads and drops everything up to the end of the connection.
  void drain(milliseconds Timeout) {
    const auto Due = Clock::now() + Timeout;
    while (this->fill(Due))
      this->Buffer.clear();
  }

private:
  bool fill(Clock::time_point Due) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Due - Clock::now());
    pollfd Poll{this->Fd, POLLIN, 0};
    if (Left.count() <= 0 ||
        poll(&Poll, 1, static_cast<int>(Left.count())) <= 0)
      return false;
    char Bytes[16384];
    const ssize_t Count = recv(this->Fd, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    this->Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Fd;
  std::string Buffer;
};

inline std::string encodeBase64(const std::string &Text) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 | (I + J < Text.size()
                                ? static_cast<unsigned char>(Text[I + J])
                                : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result += I + J > Text.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Result;
}

// --- servers ---------------------------------------------------------------

// Accepts connections and runs a thread for each.
class Server {
public:
  using Handler = std::function<void(int Fd)>;

  Server(const std::string &Ip, int Port, Handler Serve,
         const SocketOptions &Options = {})
      : Listening(listenAt(Ip, Port, Options)), Serve(std::move(Serve)),
        Acceptor([this] { this->run(); }) {}
  ~Server() { this->stop(); }

  void stop() {
    if (!this->Acceptor.joinable())
      return;
    this->Stopping = true;
    shutdown(this->Listening, SHUT_RDWR);
    this->Acceptor.join();
    close(this->Listening);
    {
      const std::lock_guard Guard(this->Mutex);
      for (const int Fd : this->Open)
        shutdown(Fd, SHUT_RDWR);
    }
    for (std::thread &Worker : this->Workers)
      Worker.join();
  }

private:
  void run() {
    while (!this->Stopping) {
      const int Fd = accept4(this->Listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      const int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      const std::lock_guard Guard(this->Mutex);
      this->Open.push_back(Fd);
      this->Workers.emplace_back([this, Fd] {
        this->Serve(Fd);
        const std::lock_guard Closing(this->Mutex);
        std::erase(this->Open, Fd);
        close(Fd);
      });
    }
  }

  int Listening;
  Handler Serve;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

inline std::string jsonReply(const std::string &Body,
                             const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// The platform's store: paged range reads and watches over all keys.
class Store {
public:
  Store(const std::string &Ip, int Port)
      : Listener(Ip, Port, [this](int Fd) { this->serve(Fd); }) {}
  ~Store() { this->stop(); }

  void stop() {
    {
      const std::lock_guard Guard(this->Mutex);
      this->Stopping = true;
    }
    this->Changed.notify_all();
    this->Listener.stop();
  }

  // Each answer takes this long.
  void setAnswerTime(milliseconds Time) { this->AnswerTime = Time; }
  // Reads that may be stale show the store as it was this long ago.
  void setStaleness(milliseconds Age) { this->StalenessAge = Age; }

  void put(const std::string &Key, const std::string &Value) {
    const std::lock_guard Guard(this->Mutex);
    Item &Entry = this->Items[Key];
    Entry.Value = encodeBase64(Value);
    Entry.Revision = ++this->Revision;
    if (Entry.Created == 0)
      Entry.Created = Entry.Revision;
    this->Events.emplace_back(Entry.Revision, describe(Key, Entry));
    this->Log.push_back({Clock::now(), this->Revision, Key, Entry});
    this->Changed.notify_all();
  }

  void remove(const std::string &Key) {
    const std::lock_guard Guard(this->Mutex);
    if (this->Items.erase(Key) == 0)
      return;
    ++this->Revision;
    this->Events.emplace_back(
        this->Revision, "{\"key\":\"" + Key + "\",\"revision\":" +
                            std::to_string(this->Revision) +
                            ",\"deleted\":true}");
    this->Log.push_back({Clock::now(), this->Revision, Key, std::nullopt});
    this->Changed.notify_all();
  }

private:
  struct Item {
    std::string Value; // base64
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
  };

  // A change of an item, or its removal.
  struct Change {
    Clock::time_point At;
    std::uint64_t Revision;
    std::string Key;
    std::optional<Item> NewItem;
  };

  static std::string describe(const std::string &Key, const Item &Entry) {
    return "{\"key\":\"" + Key + "\",\"value\":\"" + Entry.Value +
           "\",\"revision\":" + std::to_string(Entry.Revision) +
           ",\"created\":" + std::to_string(Entry.Created) + ",\"lease\":0}";
  }

  void serve(int Fd) {
    Reader Input(Fd);
    Message Request;
    while (Input.readHead(Request, std::chrono::minutes(3))) {
      const std::string Path =
          Request.target().substr(0, Request.target().find('?'));
      std::string Reply = jsonReply("{}", "404 Not Found");
      if (Path == "/api/kv-range")
        Reply = this->range(Request);
      else if (Path == "/api/kv-watch")
        Reply = this->watch(Request);
      sleepFor(this->AnswerTime.load());
      if (!sendAll(Fd, Reply))
        return;
    }
  }

  // Keys in the query are percent-encoded.
  static std::string decode(const std::string &Text) {
    std::string Result;
    for (std::size_t I = 0; I < Text.size(); ++I) {
      if (Text[I] == '%' && I + 2 < Text.size()) {
        Result += static_cast<char>(
            std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Result += Text[I];
      }
    }
    return Result;
  }

  std::string range(const Message &Request) {
    constexpr std::size_t PageItems = 50;
    const std::string Prefix = decode(Request.parameter("prefix"));
    const std::string After = decode(Request.parameter("after"));
    const std::lock_guard Guard(this->Mutex);
    std::uint64_t Shown = this->Revision;
    std::map<std::string, Item> View = this->Items;
    if (Request.parameter("stale_ok") == "1" && this->StalenessAge.load().count() > 0) {
      View.clear();
      for (const Change &Old : this->Log) {
        if (Old.At > Clock::now() - this->StalenessAge.load())
          break;
        Shown = Old.Revision;
        if (Old.NewItem)
          View[Old.Key] = *Old.NewItem;
        else
          View.erase(Old.Key);
      }
    }
    std::string List;
    std::size_t Count = 0;
    bool HasMore = false;
    for (const auto &[Key, Entry] : View) {
      if (Key.rfind(Prefix, 0) != 0 || (!After.empty() && Key <= After))
        continue;
      if (Count++ == PageItems) {
        HasMore = true;
        break;
      }
      List += (List.empty() ? "" : ",") + describe(Key, Entry);
    }
    return jsonReply("{\"items\":[" + List + "],\"has_more\":" +
                     (HasMore ? "true" : "false") + ",\"as_of\":" +
                     std::to_string(Shown) + "}");
  }

  std::string watch(const Message &Request) {
    const auto After = static_cast<std::uint64_t>(
        std::atoll(Request.parameter("after").c_str()));
    const milliseconds Wait(std::atoi(Request.parameter("wait_ms").c_str()));
    std::unique_lock Guard(this->Mutex);
    this->Changed.wait_for(Guard, Wait, [&] {
      return this->Stopping || this->Revision > After;
    });
    std::string List;
    for (const auto &[At, Event] : this->Events)
      if (At > After)
        List += (List.empty() ? "" : ",") + Event;
    return jsonReply("{\"events\":[" + List +
                     "],\"as_of\":" + std::to_string(this->Revision) + "}");
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::map<std::string, Item> Items;
  std::deque<std::pair<std::uint64_t, std::string>> Events;
  std::deque<Change> Log;
  std::uint64_t Revision = 1;
  std::atomic<milliseconds> AnswerTime{milliseconds(0)};
  std::atomic<milliseconds> StalenessAge{milliseconds(0)};
  Server Listener;
};

// Registers searchers in the store and renews their entries.
class Registration {
public:
  struct Entry {
    std::string Id;
    std::string Service;
    std::string Address;
    std::string Zone;
    int Slots = 4;
  };

  Registration(Store &Target, std::vector<Entry> Searchers)
      : Target(Target), Entries(std::move(Searchers)) {
    this->write();
    this->Writer = std::thread([this] {
      constexpr milliseconds HeartbeatInterval{1'200};
      auto Next = Clock::now() + HeartbeatInterval;
      while (!this->Stopping) {
        sleepFor(milliseconds(50));
        if (Clock::now() < Next)
          continue;
        Next += HeartbeatInterval;
        this->write();
      }
    });
  }
  ~Registration() {
    this->Stopping = true;
    this->Writer.join();
  }

  // Removes the entry of a searcher, which is not renewed any more.
  void remove(const std::string &Id) {
    const std::lock_guard Guard(this->Mutex);
    std::erase_if(this->Entries,
                  [&](const Entry &Searcher) { return Searcher.Id == Id; });
    this->Target.remove("servers/" + Id);
  }

private:
  void write() {
    const std::lock_guard Guard(this->Mutex);
    ++this->Sequence;
    for (const Entry &Searcher : this->Entries)
      this->Target.put(
          "servers/" + Searcher.Id,
          "{\"service\":\"" + Searcher.Service + "\",\"address\":\"" +
              Searcher.Address + "\",\"zone\":\"" + Searcher.Zone +
              "\",\"version\":\"v1\",\"slots\":" +
              std::to_string(Searcher.Slots) +
              ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" +
              std::to_string(this->Sequence) + "}");
  }

  Store &Target;
  std::mutex Mutex;
  std::vector<Entry> Entries;
  unsigned Sequence = 0;
  std::atomic<bool> Stopping = false;
  std::thread Writer;
};

// --- nodes -----------------------------------------------------------------

constexpr int StorePort = 8'229;
constexpr int CallerPort = 8'226;
constexpr int ReadyPort = 8'227;
constexpr int ControlPort = 8'224;
constexpr int DirectoryPort = 8'225;
constexpr int SearcherPort = 8'080;

// A free network of loopback addresses, so that several cases can run at once.
inline std::string freeNetwork() {
  const unsigned Start = static_cast<unsigned>(getpid());
  for (unsigned I = 0; I < 100; ++I) {
    const unsigned Number = (Start + I * 37) % 40'000;
    const std::string Network = "127." + std::to_string(20 + Number % 200) +
                                "." + std::to_string(1 + Number / 200);
    try {
      close(listenAt(Network + ".250", StorePort));
      return Network;
    } catch (const std::runtime_error &) {
    }
  }
  throw std::runtime_error("no free loopback addresses");
}

// An acaciacross-node process, started with the run line of the deploy file.
class Node {
public:
  Node(std::string Name, std::string Ip, const std::string &Network,
       const std::string &Zone, const std::string &Folder, int NodeCount)
      : Name(std::move(Name)), Ip(std::move(Ip)),
        Settings(Folder + "/" + this->Name + ".toml"),
        Log(Folder + "/" + this->Name + ".log") {
    std::string Seeds;
    for (int I = 1; I <= std::min(NodeCount, 3); ++I)
      Seeds += std::string(Seeds.empty() ? "" : ",") + "\"" + Network + "." +
               std::to_string(I) + ":" + std::to_string(ControlPort) + "\"";
    const auto At = [this](int Port) {
      return "\"" + this->Ip + ":" + std::to_string(Port) + "\"\n";
    };
    std::ofstream File(this->Settings);
    File << "node = \"" << this->Name << "\"\nrole = \"node\"\n"
         << "machine_class = \"front\"\n"
         << "serves = [\"front\",\"control\",\"directory\"]\n"
         << "ip = \"" << this->Ip << "\"\nzone = \"" << Zone
         << "\"\nregion = \"r\"\ninternal_ports = [7740,7755]\nseeds = ["
         << Seeds << "]\nbootstrap = true\nloss_counts = false\n"
         << "discovery = \"platform\"\nentry = \"directory\"\n"
         << "heartbeat_interval_ms = 1200\n"
         << "[listen]\nfront = " << At(CallerPort) << "ready = "
         << At(ReadyPort) << "control = " << At(ControlPort)
         << "directory = " << At(DirectoryPort)
         << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
         << "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
         << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
         << "stable_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n"
         << "drain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\n"
         << "config_apply_ms = 3000\nrollback_slack_ms = 250\n"
         << "max_skew_ms = 12000\nretry_budget_ratio = 0.2\n"
         << "budget_window_s = 10\nbudget_min_retries = 52\n"
         << "recover_s = 12\nttl_max_s = 5\n"
         << "[platform]\naddress = \"" << Network << ".250:" << StorePort
         << "\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
         << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
  }
  ~Node() { this->kill(); }

  void start() {
    std::istringstream Words(environment(
        "RUN_LINE", "target/bin/acaciacross-node --metrics_port=9464"));
    std::vector<std::string> Arguments;
    for (std::string Word; Words >> Word;)
      Arguments.push_back(Word);
    std::vector<char *> Raw;
    for (std::string &Argument : Arguments)
      Raw.push_back(Argument.data());
    Raw.push_back(nullptr);
    this->Pid = fork();
    if (this->Pid != 0)
      return;
    // The process does not outlive this one, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("ACACIACROSS_BOOT", this->Settings.c_str(), 1);
    const int Fd =
        open(this->Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Fd, STDOUT_FILENO);
    dup2(Fd, STDERR_FILENO);
    execv(Raw[0], Raw.data());
    _exit(127);
  }

  void signal(int Number) const {
    if (this->Pid > 0)
      ::kill(this->Pid, Number);
  }

  // Waits for the end of the process. Returns its wait status.
  std::optional<int> wait(milliseconds Timeout) {
    const auto Due = Clock::now() + Timeout;
    while (this->Pid > 0) {
      int Status = 0;
      if (waitpid(this->Pid, &Status, WNOHANG) == this->Pid) {
        this->Pid = -1;
        return Status;
      }
      if (Clock::now() >= Due)
        return std::nullopt;
      sleepFor(milliseconds(10));
    }
    return std::nullopt;
  }

  void kill() {
    if (this->Pid <= 0)
      return;
    ::kill(this->Pid, SIGKILL);
    ::kill(this->Pid, SIGCONT);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = -1;
  }

  pid_t pid() const { return this->Pid; }

  bool isReady() const { return get(this->Ip, ReadyPort, "/api/ready") == 200; }

  static int get(const std::string &Ip, int Port, const std::string &Target,
                 std::string *Body = nullptr) {
    const int Fd = connectTo(Ip, Port);
    if (Fd < 0)
      return 0;
    sendAll(Fd, "GET " + Target + " HTTP/1.1\r\nHost: " + Ip + "\r\n\r\n");
    Reader Input(Fd);
    Message Answer;
    const bool IsWhole = Input.readHead(Answer, milliseconds(1'000)) &&
                         Input.readBody(Answer, milliseconds(1'000));
    close(Fd);
    if (Body != nullptr)
      *Body = Answer.Body;
    return IsWhole ? Answer.status() : 0;
  }

  const std::string Name;
  const std::string Ip;
  const std::string Settings;
  const std::string Log;

private:
  pid_t Pid = -1;
};

// The caller addresses that the directory of a node names.
inline std::vector<std::string> resolve(const Node &Asked,
                                        const std::string &Zone) {
  std::string Body;
  std::vector<std::string> Addresses;
  if (Node::get(Asked.Ip, DirectoryPort,
                "/api/resolve?name=h.example&region=r&zone=" + Zone,
                &Body) != 200)
    return Addresses;
  for (std::size_t At = Body.find("\"127."); At != std::string::npos;
       At = Body.find("\"127.", At + 1)) {
    const std::string Text = Body.substr(At + 1, Body.find('"', At + 1) - At - 1);
    Addresses.push_back(Text.substr(0, Text.find(':')));
  }
  return Addresses;
}

// Waits until all nodes are ready and the directories name all of them.
inline void awaitReady(const std::vector<std::unique_ptr<Node>> &Nodes) {
  const auto Due = Clock::now() + std::chrono::seconds(10);
  while (true) {
    const bool AllReady =
        std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
          return Entry->isReady() &&
                 resolve(*Entry, "none").size() == Nodes.size();
        });
    if (AllReady)
      return;
    if (Clock::now() > Due)
      throw std::runtime_error("the nodes did not become ready");
    sleepFor(milliseconds(100));
  }
}

// --- callers ---------------------------------------------------------------

struct Answer {
  enum class Kind { Complete, Closed, TimedOut, NoConnection };
  Kind End = Kind::NoConnection;
  Message Content;

  std::string describe() const {
    switch (this->End) {
    case Kind::Complete:
      return std::to_string(this->Content.status()) + ", " +
             std::to_string(this->Content.Body.size()) + " bytes";
    case Kind::Closed:
      return "connection closed without a complete answer";
    case Kind::TimedOut:
      return "no answer within the time limit";
    case Kind::NoConnection:
      break;
    }
    return "no connection";
  }
};

// Sends one request on a new connection and reads the answer.
inline Answer exchange(const std::string &Ip, const std::string &Request,
                       milliseconds TimeLimit) {
  Answer Result;
  const auto Due = Clock::now() + TimeLimit;
  const auto Left = [&] {
    return std::chrono::duration_cast<milliseconds>(Due - Clock::now());
  };
  const int Fd = connectTo(Ip, CallerPort);
  if (Fd < 0)
    return Result;
  // A node may answer before it has read the request, so errors of sending do
  // not count.
  sendAll(Fd, Request);
  Reader Input(Fd);
  const bool IsWhole = Input.readHead(Result.Content, Left()) &&
                       Input.readBody(Result.Content, Left());
  if (IsWhole)
    Result.End = Answer::Kind::Complete;
  else
    Result.End = Left().count() <= 0 ? Answer::Kind::TimedOut
                                     : Answer::Kind::Closed;
  close(Fd);
  return Result;
}

// Runs a case with a temporary folder and maps exceptions to the exit status.
inline int
runCase(const std::function<int(const std::string &Folder)> &Body) {
  ::signal(SIGPIPE, SIG_IGN);
  std::string Folder =
      std::filesystem::temp_directory_path() / "acaciacross-review-XXXXXX";
  if (mkdtemp(Folder.data()) == nullptr)
    return CouldNotRun;
  int Result = CouldNotRun;
  try {
    Result = Body(Folder);
  } catch (const std::exception &Error) {
    std::cout << "could not run: " << Error.what() << "\n";
  }
  if (environment("KEEP", "0") == "1")
    std::cout << "logs are in " << Folder << "\n";
  else
    std::filesystem::remove_all(Folder);
  return Result;
}

} // namespace review
