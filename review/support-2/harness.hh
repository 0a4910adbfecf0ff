// Stand-ins for the review's scripts: an HTTP server on one thread (store and
// searchers), a blocking HTTP client, the store's published state, and the
// node as a child process. Everything is on loopback addresses.
#ifndef REVIEW_SUPPORT_2_HARNESS_HH
#define REVIEW_SUPPORT_2_HARNESS_HH

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

/// Milliseconds since the start of this program.
inline std::int64_t nowMs() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration_cast<Ms>(Clock::now() - Start).count();
}

inline void sleepMs(std::int64_t Count) {
  std::this_thread::sleep_for(Ms(Count));
}

/// The record of a run; lines may come from any thread.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void line(const std::string &Text) {
    const std::lock_guard Guard(this->Mutex);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%9.3f  ",
                  static_cast<double>(nowMs()) / 1000.0);
    this->File << Time << Text << '\n' << std::flush;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

inline std::string lower(std::string Text) {
  for (char &Char : Text)
    if (Char >= 'A' && Char <= 'Z')
      Char = static_cast<char>(Char - 'A' + 'a');
  return Text;
}

/// A request or response. Names of headers are in lower case.
struct Message {
  std::string StartLine;
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::string header(const std::string &Name) const {
    const auto Found = this->Headers.find(Name);
    return Found == this->Headers.end() ? "" : Found->second;
  }
  std::string target() const {
    const auto First = this->StartLine.find(' ');
    const auto Second = this->StartLine.find(' ', First + 1);
    return this->StartLine.substr(First + 1, Second - First - 1);
  }
  int status() const {
    return this->StartLine.size() < 12
               ? 0
               : std::atoi(this->StartLine.substr(9, 3).c_str());
  }
};

/// Takes one message with a Content-Length, or none, off the front of Bytes.
inline std::optional<Message> takeMessage(std::string &Bytes) {
  const auto End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos)
    return std::nullopt;
  Message Result;
  std::istringstream Lines(Bytes.substr(0, End));
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Result.StartLine.empty()) {
      Result.StartLine = Line;
      continue;
    }
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    const auto Begin = Line.find_first_not_of(" \t", Colon + 1);
    Result.Headers[lower(Line.substr(0, Colon))] =
        Begin == std::string::npos ? "" : Line.substr(Begin);
  }
  std::size_t Length = 0;
  if (const auto Found = Result.Headers.find("content-length");
      Found != Result.Headers.end())
    Length = std::strtoull(Found->second.c_str(), nullptr, 10);
  if (Bytes.size() < End + 4 + Length)
    return std::nullopt;
  Result.Body = Bytes.substr(End + 4, Length);
  Bytes.erase(0, End + 4 + Length);
  return Result;
}

inline std::string response(int Status, const std::string &Headers,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline sockaddr_in socketAddress(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1 ||
      Host.rfind("127.", 0) != 0)
    throw std::runtime_error("not a loopback address: " + Host);
  return Address;
}

struct ListenOptions {
  /// 0: the system's default.
  int ReceiveBufferBytes = 0;
  int MaxSegmentBytes = 0;
  /// Of clients only.
  int SendBufferBytes = 0;
  /// Whether requests are read; may become false at any time.
  const std::atomic<bool> *Reads = nullptr;
};

/// An HTTP server on one thread with any number of listening sockets.
class Server {
public:
  using Handler = std::function<void(std::uint64_t Connection, int Listener,
                                     Message Request)>;

  explicit Server(Handler OnRequest)
      : OnRequest(std::move(OnRequest)), Epoll(epoll_create1(EPOLL_CLOEXEC)),
        Waker(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    epoll_event Event{};
    Event.events = EPOLLIN;
    Event.data.u64 = WakerKey;
    epoll_ctl(this->Epoll, EPOLL_CTL_ADD, this->Waker, &Event);
  }
  ~Server() { this->stop(); }

  /// Call before start. Returns the number of the listener.
  int listen(const std::string &Host, int Port, ListenOptions Options = {}) {
    const int Fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    if (Options.ReceiveBufferBytes > 0)
      setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Options.ReceiveBufferBytes,
                 sizeof(int));
    if (Options.MaxSegmentBytes > 0)
      setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Options.MaxSegmentBytes,
                 sizeof(int));
    const sockaddr_in Address = socketAddress(Host, Port);
    if (bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
        ::listen(Fd, 1024) != 0)
      throw std::runtime_error("cannot listen at " + Host + ":" +
                               std::to_string(Port));
    const int Number = static_cast<int>(this->Listeners.size());
    this->Listeners.push_back({Fd, Options});
    epoll_event Event{};
    Event.events = EPOLLIN;
    Event.data.u64 = ListenerKey + static_cast<std::uint64_t>(Number);
    epoll_ctl(this->Epoll, EPOLL_CTL_ADD, Fd, &Event);
    return Number;
  }

  void start() {
    this->Worker = std::thread([this] { this->run(); });
  }
  void stop() {
    if (!this->Worker.joinable())
      return;
    this->Stopping = true;
    this->wake();
    this->Worker.join();
    for (auto &[Id, Open] : this->Connections)
      close(Open.Fd);
    for (const Listener &Entry : this->Listeners)
      close(Entry.Fd);
    close(this->Epoll);
    close(this->Waker);
  }

  /// From the server's thread only.
  void reply(std::uint64_t Connection, const std::string &Bytes,
             bool Closes = false) {
    const auto Found = this->Connections.find(Connection);
    if (Found == this->Connections.end())
      return;
    Found->second.Output += Bytes;
    Found->second.ClosesAfterOutput = Closes;
    this->flush(Connection);
  }
  /// Closes with a reset. From the server's thread only.
  void reset(std::uint64_t Connection) {
    const auto Found = this->Connections.find(Connection);
    if (Found == this->Connections.end())
      return;
    const linger Abort{1, 0};
    setsockopt(Found->second.Fd, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
    this->drop(Connection);
  }
  /// From the server's thread only.
  bool isOpen(std::uint64_t Connection) const {
    return this->Connections.count(Connection) > 0;
  }
  std::size_t openConnections() const { return this->OpenCount; }

  /// Runs Work on the server's thread after a delay. From any thread.
  void after(std::int64_t DelayMs, std::function<void()> Work) {
    {
      const std::lock_guard Guard(this->Mutex);
      this->Timers.emplace(Clock::now() + Ms(DelayMs), std::move(Work));
    }
    this->wake();
  }

private:
  static constexpr std::uint64_t WakerKey = ~std::uint64_t{0};
  static constexpr std::uint64_t ListenerKey = std::uint64_t{1} << 62;

  struct Listener {
    int Fd;
    ListenOptions Options;
  };
  struct Open {
    int Fd = -1;
    int Listener = 0;
    std::string Input;
    std::string Output;
    bool ClosesAfterOutput = false;
  };

  void wake() const {
    const std::uint64_t One = 1;
    [[maybe_unused]] const auto Written = write(this->Waker, &One, sizeof One);
  }

  void run() {
    while (!this->Stopping) {
      int Timeout = 50;
      {
        const std::lock_guard Guard(this->Mutex);
        if (!this->Timers.empty()) {
          const auto Left = std::chrono::ceil<Ms>(this->Timers.begin()->first -
                                                  Clock::now())
                                .count();
          Timeout = static_cast<int>(
              std::max<std::int64_t>(0, std::min<std::int64_t>(50, Left)));
        }
      }
      epoll_event Events[64];
      const int Count = epoll_wait(this->Epoll, Events, 64, Timeout);
      for (int I = 0; I < Count; ++I)
        this->dispatch(Events[I].data.u64, Events[I].events);
      this->runTimers();
    }
  }

  void runTimers() {
    while (true) {
      std::function<void()> Work;
      {
        const std::lock_guard Guard(this->Mutex);
        if (this->Timers.empty() ||
            this->Timers.begin()->first > Clock::now())
          return;
        Work = std::move(this->Timers.begin()->second);
        this->Timers.erase(this->Timers.begin());
      }
      Work();
    }
  }

  void dispatch(std::uint64_t Key, std::uint32_t Events) {
    if (Key == WakerKey) {
      std::uint64_t Count = 0;
      [[maybe_unused]] const auto Read = read(this->Waker, &Count, sizeof Count);
      return;
    }
    if (Key >= ListenerKey) {
      this->accept(static_cast<int>(Key - ListenerKey));
      return;
    }
    if ((Events & (EPOLLERR | EPOLLHUP)) != 0) {
      this->drop(Key);
      return;
    }
    if ((Events & EPOLLOUT) != 0)
      this->flush(Key);
    if ((Events & EPOLLIN) != 0)
      this->readFrom(Key);
  }

  void accept(int Number) {
    const Listener &Source = this->Listeners[static_cast<std::size_t>(Number)];
    const int Fd =
        accept4(Source.Fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    const int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    const std::uint64_t Id = this->NextId++;
    Open &Entry = this->Connections[Id];
    Entry.Fd = Fd;
    Entry.Listener = Number;
    ++this->OpenCount;
    epoll_event Event{};
    const bool Reads =
        Source.Options.Reads == nullptr || Source.Options.Reads->load();
    Event.events = Reads ? std::uint32_t{EPOLLIN} : 0U;
    Event.data.u64 = Id;
    epoll_ctl(this->Epoll, EPOLL_CTL_ADD, Fd, &Event);
  }

  void readFrom(std::uint64_t Id) {
    const auto Found = this->Connections.find(Id);
    if (Found == this->Connections.end())
      return;
    const ListenOptions &Options =
        this->Listeners[static_cast<std::size_t>(Found->second.Listener)]
            .Options;
    if (Options.Reads != nullptr && !Options.Reads->load()) {
      epoll_event Event{};
      Event.data.u64 = Id;
      epoll_ctl(this->Epoll, EPOLL_CTL_MOD, Found->second.Fd, &Event);
      return;
    }
    static thread_local std::vector<char> Buffer(256 << 10);
    const ssize_t Count =
        recv(Found->second.Fd, Buffer.data(), Buffer.size(), 0);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (Count <= 0) {
      this->drop(Id);
      return;
    }
    Found->second.Input.append(Buffer.data(), static_cast<std::size_t>(Count));
    const int Listener = Found->second.Listener;
    while (true) {
      const auto Again = this->Connections.find(Id);
      if (Again == this->Connections.end())
        return;
      auto Request = takeMessage(Again->second.Input);
      if (!Request)
        return;
      this->OnRequest(Id, Listener, std::move(*Request));
    }
  }

  void flush(std::uint64_t Id) {
    const auto Found = this->Connections.find(Id);
    if (Found == this->Connections.end())
      return;
    Open &Entry = Found->second;
    while (!Entry.Output.empty()) {
      const ssize_t Count = send(Entry.Fd, Entry.Output.data(),
                                 Entry.Output.size(), MSG_NOSIGNAL);
      if (Count < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (Count < 0) {
        this->drop(Id);
        return;
      }
      Entry.Output.erase(0, static_cast<std::size_t>(Count));
    }
    if (Entry.Output.empty() && Entry.ClosesAfterOutput) {
      this->drop(Id);
      return;
    }
    epoll_event Event{};
    Event.events = Entry.Output.empty() ? std::uint32_t{EPOLLIN}
                                        : std::uint32_t{EPOLLIN | EPOLLOUT};
    Event.data.u64 = Id;
    epoll_ctl(this->Epoll, EPOLL_CTL_MOD, Entry.Fd, &Event);
  }

  void drop(std::uint64_t Id) {
    const auto Found = this->Connections.find(Id);
    if (Found == this->Connections.end())
      return;
    close(Found->second.Fd);
    this->Connections.erase(Found);
    --this->OpenCount;
  }

  Handler OnRequest;
  int Epoll;
  int Waker;
  std::vector<Listener> Listeners;
  std::map<std::uint64_t, Open> Connections;
  std::uint64_t NextId = 1;
  std::atomic<std::size_t> OpenCount{0};
  std::mutex Mutex;
  std::multimap<Clock::time_point, std::function<void()>> Timers;
  std::atomic<bool> Stopping{false};
  std::thread Worker;
};

inline std::string base64(const std::string &Text) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    const auto Byte = [&](std::size_t At) {
      return At < Text.size() ? static_cast<unsigned char>(Text[At]) : 0U;
    };
    const unsigned Group =
        (Byte(I) << 16U) | (Byte(I + 1) << 8U) | Byte(I + 2);
    Result += Digits[Group >> 18U & 63U];
    Result += Digits[Group >> 12U & 63U];
    Result += I + 1 < Text.size() ? Digits[Group >> 6U & 63U] : '=';
    Result += I + 2 < Text.size() ? Digits[Group & 63U] : '=';
  }
  return Result;
}

/// The platform's store: one snapshot of all keys, and a watch.
class Store {
public:
  Store(const std::string &Host, int Port)
      : Http([this](std::uint64_t Connection, int, Message Request) {
          this->answer(Connection, Request);
        }) {
    this->Http.listen(Host, Port);
    this->Http.start();
  }
  void put(const std::string &Key, const std::string &Value) {
    this->Http.after(0, [this, Key, Value] {
      this->Items[Key] = {Value, ++this->Revision};
      this->History.push_back({Key, Value, this->Revision, false});
      this->answerWatches(false);
    });
  }
  void remove(const std::string &Key) {
    this->Http.after(0, [this, Key] {
      if (this->Items.erase(Key) == 0)
        return;
      this->History.push_back({Key, "", ++this->Revision, true});
      this->answerWatches(false);
    });
  }
  void stop() { this->Http.stop(); }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision;
  };
  struct Event {
    std::string Key;
    std::string Value;
    std::uint64_t Revision;
    bool IsRemoval;
  };
  struct Watch {
    std::uint64_t Connection;
    std::uint64_t After;
    std::int64_t EndMs;
  };

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    const auto At = Target.find(Name + "=");
    if (At == std::string::npos)
      return "";
    const auto Begin = At + Name.size() + 1;
    return Target.substr(Begin, Target.find('&', Begin) - Begin);
  }

  void send(std::uint64_t Connection, int Status, const std::string &Body) {
    this->Http.reply(Connection,
                     response(Status,
                              "Content-Type: application/json\r\n"
                              "Store-Era: 1\r\n",
                              Body));
  }

  void answer(std::uint64_t Connection, const Message &Request) {
    const std::string Target = Request.target();
    if (Target.rfind("/api/kv-range", 0) == 0) {
      std::string Body = "{\"items\":[";
      for (const auto &[Key, Entry] : this->Items) {
        if (Body.back() == '}')
          Body += ',';
        Body += "{\"key\":\"" + Key + "\",\"value\":\"" +
                base64(Entry.Value) +
                "\",\"revision\":" + std::to_string(Entry.Revision) +
                ",\"created\":" + std::to_string(Entry.Revision) +
                ",\"lease\":0}";
      }
      this->send(Connection, 200,
                 Body + "],\"has_more\":false,\"as_of\":" +
                     std::to_string(this->Revision) + "}");
      return;
    }
    if (Target.rfind("/api/kv-watch", 0) == 0) {
      const std::uint64_t After =
          std::strtoull(parameter(Target, "after").c_str(), nullptr, 10);
      const std::int64_t Wait =
          std::atoll(parameter(Target, "wait_ms").c_str());
      if (After > this->Revision) {
        this->send(Connection, 410, "{}");
        return;
      }
      this->Watches.push_back({Connection, After, nowMs() + Wait});
      this->answerWatches(false);
      this->Http.after(Wait + 1, [this] { this->answerWatches(true); });
      return;
    }
    this->send(Connection, 404, "{}");
  }

  void answerWatches(bool IsTimer) {
    std::vector<Watch> Left;
    for (const Watch &Waiting : this->Watches) {
      if (Waiting.After >= this->Revision &&
          !(IsTimer && nowMs() >= Waiting.EndMs)) {
        Left.push_back(Waiting);
        continue;
      }
      std::string Body = "{\"events\":[";
      for (const Event &Change : this->History) {
        if (Change.Revision <= Waiting.After)
          continue;
        if (Body.back() == '}')
          Body += ',';
        Body += "{\"key\":\"" + Change.Key +
                "\",\"revision\":" + std::to_string(Change.Revision);
        Body += Change.IsRemoval
                    ? ",\"deleted\":true}"
                    : ",\"value\":\"" + base64(Change.Value) + "\"}";
      }
      this->send(Waiting.Connection, 200,
                 Body + "],\"as_of\":" + std::to_string(this->Revision) + "}");
    }
    this->Watches.swap(Left);
  }

  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::vector<Watch> Watches;
  std::uint64_t Revision = 1;
  Server Http;
};

/// What a searcher writes to the store about itself.
inline std::string searcherEntry(const std::string &Service,
                                 const std::string &Address, int Slots,
                                 const std::string &State = "ready",
                                 int Sequence = 1) {
  return "{\"service\":\"" + Service + "\",\"address\":\"" + Address +
         "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" +
         std::to_string(Slots) + ",\"state\":\"" + State +
         "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(Sequence) +
         ",\"born\":1700000000000}";
}

/// A blocking client connection.
class Client {
public:
  Client() = default;
  ~Client() { this->end(); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  bool open(const std::string &Host, int Port, int TimeoutMs = 1000,
            ListenOptions Options = {}) {
    this->end();
    this->Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (Options.ReceiveBufferBytes > 0)
      setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &Options.ReceiveBufferBytes,
                 sizeof(int));
    if (Options.MaxSegmentBytes > 0)
      setsockopt(this->Fd, IPPROTO_TCP, TCP_MAXSEG, &Options.MaxSegmentBytes,
                 sizeof(int));
    if (Options.SendBufferBytes > 0)
      setsockopt(this->Fd, SOL_SOCKET, SO_SNDBUF, &Options.SendBufferBytes,
                 sizeof(int));
    const int On = 1;
    setsockopt(this->Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    const sockaddr_in Address = socketAddress(Host, Port);
    if (connect(this->Fd, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0 &&
        errno != EINPROGRESS)
      return false;
    pollfd Wait{this->Fd, POLLOUT, 0};
    if (poll(&Wait, 1, TimeoutMs) <= 0)
      return false;
    int Error = 0;
    socklen_t Size = sizeof Error;
    getsockopt(this->Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
    return Error == 0;
  }
  void end() {
    if (this->Fd >= 0)
      close(this->Fd);
    this->Fd = -1;
    this->Input.clear();
  }
  int fd() const { return this->Fd; }
  /// Sends as much as is taken within the time; returns the bytes taken.
  std::size_t sendSome(const std::string &Bytes, std::int64_t TimeoutMs) {
    std::size_t Sent = 0;
    const std::int64_t End = nowMs() + TimeoutMs;
    while (Sent < Bytes.size()) {
      const ssize_t Count = send(this->Fd, Bytes.data() + Sent,
                                 Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count > 0) {
        Sent += static_cast<std::size_t>(Count);
        continue;
      }
      if (errno != EAGAIN && errno != EINTR)
        break;
      const std::int64_t Left = End - nowMs();
      pollfd Wait{this->Fd, POLLOUT, 0};
      if (Left <= 0 || poll(&Wait, 1, static_cast<int>(Left)) <= 0)
        break;
    }
    return Sent;
  }
  /// Empty: no complete answer in time, or the connection ended.
  std::optional<Message> receive(std::int64_t TimeoutMs) {
    const std::int64_t End = nowMs() + TimeoutMs;
    while (true) {
      if (auto Answer = takeMessage(this->Input))
        return Answer;
      const std::int64_t Left = End - nowMs();
      pollfd Wait{this->Fd, POLLIN, 0};
      if (Left <= 0 || poll(&Wait, 1, static_cast<int>(Left)) <= 0)
        return std::nullopt;
      char Buffer[65536];
      const ssize_t Count = recv(this->Fd, Buffer, sizeof Buffer, 0);
      if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR))
        return std::nullopt;
      if (Count > 0)
        this->Input.append(Buffer, static_cast<std::size_t>(Count));
    }
  }

private:
  int Fd = -1;
  std::string Input;
};

inline std::string requestHead(const std::string &Method,
                               const std::string &Target,
                               const std::string &Id, int TimeLeftMs,
                               std::optional<std::size_t> BodyBytes = {}) {
  return Method + " " + Target + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Request-Id: " + Id +
         "\r\nX-Request-Deadline: " + std::to_string(TimeLeftMs) + "\r\n" +
         (BodyBytes ? "Content-Length: " + std::to_string(*BodyBytes) + "\r\n"
                    : std::string()) +
         "\r\n";
}

/// Settings of one node, as the platform writes them for a small deployment.
struct NodeOptions {
  std::string Name = "front-1";
  std::string Host;
  std::string StoreAddress;
  std::vector<std::string> SeedHosts;
  int MemoryMegabytes = 260;
  int MaxDescriptors = 4100;
  int BudgetMinRetries = 52;
};

constexpr int FrontPort = 8226;
constexpr int ReadyPort = 8227;
constexpr int ControlPort = 8224;
constexpr int DirectoryPort = 8225;
constexpr int MetricsPort = 9464;
constexpr int StorePort = 8229;

/// The node program, run as the deploy file says.
class Node {
public:
  Node(NodeOptions Options, const std::string &Folder)
      : Options(std::move(Options)),
        SettingsPath(Folder + "/" + this->Options.Name + ".toml"),
        LogPath(Folder + "/" + this->Options.Name + ".log") {
    std::ofstream Text(this->SettingsPath);
    const std::string &Host = this->Options.Host;
    Text << "node = \"" << this->Options.Name << "\"\nrole = \"node\"\n"
         << "machine_class = \"front\"\n"
         << "serves = [\"front\",\"control\",\"directory\"]\nip = \"" << Host
         << "\"\nzone = \"z1\"\nregion = \"r1\"\n"
         << "internal_ports = [7740,7755]\nseeds = [";
    for (const std::string &Seed : this->Options.SeedHosts)
      Text << '"' << Seed << ':' << ControlPort << "\",";
    Text << "]\nbootstrap = true\nloss_counts = false\n"
         << "discovery = \"platform\"\nentry = \"directory\"\n"
         << "heartbeat_interval_ms = 1200\n"
         << "[zones]\nz1 = \"r1\"\n[listen]\nfront = \"" << Host << ":"
         << FrontPort << "\"\nready = \"" << Host << ":" << ReadyPort
         << "\"\ncontrol = \"" << Host << ":" << ControlPort
         << "\"\ndirectory = \"" << Host << ":" << DirectoryPort
         << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = "
         << this->Options.MemoryMegabytes
         << "\nmax_fds = " << this->Options.MaxDescriptors
         << "\nlink_mbps = 1000.0\ndisk_mb = 0\n"
         << "[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
         << "seed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\n"
         << "ack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_s = 6\n"
         << "loss_slack_ms = 200\nconfig_apply_ms = 3000\n"
         << "rollback_slack_ms = 250\nmax_skew_ms = 12000\n"
         << "retry_budget_ratio = 0.2\nbudget_window_s = 10\n"
         << "budget_min_retries = " << this->Options.BudgetMinRetries
         << "\nrecover_s = 12\nttl_max_s = 5\n[platform]\naddress = \""
         << this->Options.StoreAddress
         << "\"\nform = \"read\"\nreads_per_s = 2000\nhistory_s = 20\n"
         << "value_bytes = 1048576\n";
  }
  ~Node() { this->kill(); }

  void start() {
    const std::string Settings = "ACACIACROSS_BOOT=" + this->SettingsPath;
    const std::string Metrics = "--metrics_port=" + std::to_string(MetricsPort);
    const std::string Program = "target/bin/acaciacross-node";
    const pid_t Parent = getpid();
    const pid_t Child = fork();
    if (Child == 0) {
      // The node ends with this program, whatever ends it.
      prctlEnd(Parent);
      const int Log =
          ::open(this->LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(Log, STDOUT_FILENO);
      dup2(Log, STDERR_FILENO);
      char *Arguments[] = {const_cast<char *>(Program.c_str()),
                           const_cast<char *>(Metrics.c_str()), nullptr};
      char *Environment[] = {const_cast<char *>(Settings.c_str()), nullptr};
      execve(Program.c_str(), Arguments, Environment);
      _exit(127);
    }
    this->Pid = Child;
  }
  void signal(int Number) {
    if (this->Pid > 0)
      ::kill(this->Pid, Number);
  }
  void kill() {
    if (this->Pid <= 0)
      return;
    ::kill(this->Pid, SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = -1;
  }
  /// Whether the process has ended by itself.
  bool hasEnded() {
    if (this->Pid <= 0)
      return true;
    if (waitpid(this->Pid, nullptr, WNOHANG) != this->Pid)
      return false;
    this->Pid = -1;
    return true;
  }
  pid_t pid() const { return this->Pid; }
  const NodeOptions &options() const { return this->Options; }
  /// Waits until the process calls itself ready.
  bool waitReady(std::int64_t TimeoutMs) {
    const std::int64_t End = nowMs() + TimeoutMs;
    while (nowMs() < End) {
      Client Probe;
      if (Probe.open(this->Options.Host, ReadyPort, 200) &&
          Probe.sendSome("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200) >
              0)
        if (const auto Answer = Probe.receive(300);
            Answer && Answer->status() == 200)
          return true;
      sleepMs(30);
    }
    return false;
  }
  /// A field of /proc/PID/status in kB; 0 when unknown.
  std::size_t statusKb(const std::string &Field) const {
    std::ifstream File("/proc/" + std::to_string(this->Pid) + "/status");
    for (std::string Line; std::getline(File, Line);)
      if (Line.rfind(Field + ":", 0) == 0)
        return std::strtoull(Line.c_str() + Field.size() + 1, nullptr, 10);
    return 0;
  }

private:
  static void prctlEnd(pid_t Parent);

  NodeOptions Options;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

/// Raises the soft limit of descriptors of this program to its hard limit.
inline void raiseDescriptors() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

/// A loopback network 127.A.B that nothing listens on.
inline std::string freeNetwork() {
  std::mt19937 Random(std::random_device{}());
  for (int Try = 0; Try < 50; ++Try) {
    const std::string Network = "127." + std::to_string(30 + Random() % 200) +
                                "." + std::to_string(1 + Random() % 250);
    const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in Address = socketAddress(Network + ".1", FrontPort);
    const bool IsFree =
        bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) == 0;
    close(Fd);
    if (IsFree)
      return Network;
  }
  throw std::runtime_error("no free loopback network");
}

} // namespace review

#include <sys/prctl.h>

inline void review::Node::prctlEnd(pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(127);
}

#endif
