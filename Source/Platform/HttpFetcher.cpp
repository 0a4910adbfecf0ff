#include "Platform/HttpFetcher.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <limits>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <string_view>
#include <sys/socket.h>

namespace acaciacross::platform {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{2'000};
// Limits one poll. A transfer ends earlier by its own timeout.
constexpr std::chrono::milliseconds MaxPollTime{60'000};

// Published changes must be known within 3 s, so a connection to an
// unresponsive peer is closed after about that time.
constexpr int KeepAliveSeconds = 1;
constexpr int MaxUnansweredProbes = 2;
constexpr int MaxUnacknowledgedMs = 2'000;

// More than the platform sends.
constexpr std::size_t MaxHeaders = 64;
constexpr std::size_t MaxHeaderBytes = 1'024;

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Target) {
  auto *Body = static_cast<std::string *>(Target);
  const std::size_t Length = Size * Count;
  if (Body->size() + Length > HttpFetcher::MaxBodyBytes)
    return 0;
  Body->append(Data, Length);
  return Length;
}

int configureKeepAlive(void *, curl_socket_t Socket, curlsocktype) {
  const auto Set = [Socket](int Name, int Value) {
    ::setsockopt(Socket, IPPROTO_TCP, Name, &Value, sizeof Value);
  };
  const int Enabled = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &Enabled, sizeof Enabled);
  Set(TCP_KEEPIDLE, KeepAliveSeconds);
  Set(TCP_KEEPINTVL, KeepAliveSeconds);
  Set(TCP_KEEPCNT, MaxUnansweredProbes);
  Set(TCP_USER_TIMEOUT, MaxUnacknowledgedMs);
  return CURL_SOCKOPT_OK;
}

void readHeaders(CURL *Easy, std::map<std::string, std::string> &Headers) {
  curl_header *Field = nullptr;
  while ((Field = curl_easy_nextheader(Easy, CURLH_HEADER, -1, Field)) !=
         nullptr) {
    std::string Name(Field->name);
    std::string_view Value(Field->value);
    if (Headers.size() >= MaxHeaders || Name.size() > MaxHeaderBytes ||
        Value.size() > MaxHeaderBytes)
      continue;
    std::ranges::transform(Name, Name.begin(), [](unsigned char Character) {
      return static_cast<char>(std::tolower(Character));
    });
    const auto [Known, IsNew] = Headers.try_emplace(Name, Value);
    if (!IsNew && Known->second.size() <= MaxHeaderBytes)
      Known->second.append(", ").append(Value);
  }
}

void initializeCurl() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

class HttpFetcher::Handles {
public:
  Handles() : Multi(curl_multi_init()), Easy(curl_easy_init()) {
    if (this->Multi == nullptr || this->Easy == nullptr)
      throw std::bad_alloc();
  }
  ~Handles() {
    curl_easy_cleanup(this->Easy);
    curl_multi_cleanup(this->Multi);
  }
  Handles(const Handles &) = delete;
  Handles &operator=(const Handles &) = delete;

  void prepare(const std::string &Url, std::chrono::milliseconds Timeout,
               std::string &Body) {
    curl_easy_reset(this->Easy);
    curl_easy_setopt(this->Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(this->Easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(this->Easy, CURLOPT_NOSIGNAL, 1L);
    // TCP keep-alive detects a connection that was lost without a reset long
    // before a watch on it would time out.
    curl_easy_setopt(this->Easy, CURLOPT_SOCKOPTFUNCTION, configureKeepAlive);
    // Ignores the proxy settings of the environment, because the platform is
    // reached directly.
    curl_easy_setopt(this->Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->Easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(ConnectTimeout.count()));
    curl_easy_setopt(this->Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Timeout.count()));
    curl_easy_setopt(this->Easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(this->Easy, CURLOPT_WRITEDATA, &Body);
  }

  /// Whether the transfer has ended; Result is set if so.
  bool hasEnded(CURLcode &Result) {
    int MessagesLeft = 0;
    while (const CURLMsg *Message =
               curl_multi_info_read(this->Multi, &MessagesLeft)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      Result = Message->data.result;
      return true;
    }
    return false;
  }

  void poll(std::chrono::milliseconds Time) {
    curl_multi_poll(this->Multi, nullptr, 0, static_cast<int>(Time.count()),
                    nullptr);
  }

  CURLM *Multi;
  CURL *Easy;
};

HttpFetcher::HttpFetcher() {
  initializeCurl();
  this->Curl = std::make_unique<Handles>();
}

HttpFetcher::~HttpFetcher() = default;

HttpReply HttpFetcher::get(const common::Address &Server,
                           const std::string &Path,
                           std::chrono::milliseconds Timeout,
                           const std::function<bool()> &IsCancelled) {
  HttpReply Reply;
  const std::string Url = "http://" + Server.toString() + Path;
  this->Curl->prepare(Url, Timeout, Reply.Body);
  curl_multi_add_handle(this->Curl->Multi, this->Curl->Easy);

  CURLcode Result = CURLE_OK;
  int Running = 0;
  while (true) {
    Reply.IsCancelled = IsCancelled();
    if (Reply.IsCancelled)
      break;
    const CURLMcode Status = curl_multi_perform(this->Curl->Multi, &Running);
    if (Status != CURLM_OK) {
      Reply.Error = curl_multi_strerror(Status);
      break;
    }
    if (this->Curl->hasEnded(Result))
      break;
    this->Curl->poll(MaxPollTime);
  }
  // Removing the handle closes the connection when its transfer has not ended.
  curl_multi_remove_handle(this->Curl->Multi, this->Curl->Easy);
  if (Result != CURLE_OK)
    Reply.Error = curl_easy_strerror(Result);
  if (!Reply.IsCancelled && Reply.Error.empty()) {
    curl_easy_getinfo(this->Curl->Easy, CURLINFO_RESPONSE_CODE, &Reply.Status);
    readHeaders(this->Curl->Easy, Reply.Headers);
  }
  return Reply;
}

void HttpFetcher::wait(std::chrono::milliseconds Time) {
  this->Curl->poll(std::min<std::chrono::milliseconds>(
      Time, std::chrono::milliseconds(std::numeric_limits<int>::max())));
}

void HttpFetcher::wake() { curl_multi_wakeup(this->Curl->Multi); }

} // namespace acaciacross::platform
