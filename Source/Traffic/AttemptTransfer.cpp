#include "Traffic/AttemptTransfer.h"

#include "Traffic/UpstreamCodec.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <optional>
#include <string_view>

namespace acaciacross::traffic {

namespace {

constexpr std::size_t MaxReplyBytes = std::size_t{4} << 20;
constexpr std::size_t MaxHeaderBytes = std::size_t{64} << 10;

// A new connection takes 1 to 6 ms, plus some 8 ms between zones. The kernel
// retransmits a lost SYN only after a second, which is too late for a latency
// target of 80 ms.
constexpr long ConnectTimeoutMs = 250;

} // namespace

AttemptTransfer::AttemptTransfer(const query::AttemptSpec &Attempt,
                                 const common::Clock &Time)
    : Spec(Attempt), TimeSource(Time), StartedAt(Time.monotonicNow()),
      Reply(MaxReplyBytes, MaxHeaderBytes) {
  const auto Lines = encodeAttemptHeaders(this->Spec);
  if (!Lines)
    return;
  for (const std::string &Line : *Lines)
    this->Headers = ::curl_slist_append(this->Headers, Line.c_str());
  this->Easy = ::curl_easy_init();
  if (this->Easy)
    this->configure();
}

AttemptTransfer::~AttemptTransfer() {
  ::curl_easy_cleanup(this->Easy);
  ::curl_slist_free_all(this->Headers);
}

void AttemptTransfer::configure() {
  const auto Set = [this](CURLoption Option, auto Value) {
    ::curl_easy_setopt(this->Easy, Option, Value);
  };
  const std::string Url =
      "http://" + this->Spec.Endpoint.toString() + "/search";
  Set(CURLOPT_URL, Url.c_str());
  Set(CURLOPT_PRIVATE, this);
  Set(CURLOPT_NOSIGNAL, 1L);
  Set(CURLOPT_NOPROXY, "*");
  Set(CURLOPT_PROTOCOLS_STR, "http");
  Set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  Set(CURLOPT_TCP_NODELAY, 1L);
  Set(CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  Set(CURLOPT_HTTPHEADER, this->Headers);

  // No seek callback is set, so that libcurl cannot rewind the body and send it
  // again when a reused connection breaks. An empty body needs no rewinding;
  // for it beforeRequest refuses the second request.
  Set(CURLOPT_POST, 1L);
  Set(CURLOPT_POSTFIELDSIZE_LARGE,
      static_cast<curl_off_t>(this->Spec.Body.size()));
  Set(CURLOPT_READFUNCTION, &AttemptTransfer::readBody);
  Set(CURLOPT_READDATA, this);
  Set(CURLOPT_PREREQFUNCTION, &AttemptTransfer::beforeRequest);
  Set(CURLOPT_PREREQDATA, this);

  this->Reply.attach(this->Easy);
}

CURL *AttemptTransfer::handle() const { return this->Easy; }

const query::AttemptSpec &AttemptTransfer::spec() const { return this->Spec; }

std::uint16_t AttemptTransfer::localPort() const { return this->LocalPort; }

EndedAttempt AttemptTransfer::end(CURLcode Code) const {
  EndedAttempt Ended;
  Ended.Searcher = this->Spec.Searcher;
  Ended.Result.Attempt = this->Spec.Id;
  Ended.Result.Status = this->statusOf(Code);
  Ended.Result.Elapsed = this->TimeSource.monotonicNow() - this->StartedAt;
  Ended.Result.IsDraining = this->Reply.isDraining();
  if (Ended.Result.Status != query::AttemptStatus::Answered)
    return Ended;
  Ended.Result.Reply = decodeShardReply(this->Reply.body());
  if (!Ended.Result.Reply)
    Ended.Result.Status = query::AttemptStatus::Lost;
  return Ended;
}

query::AttemptStatus AttemptTransfer::statusOf(CURLcode Code) const {
  if (!this->HasSendStarted)
    return this->IsDeadlineMissed ? query::AttemptStatus::ExpiredBeforeStart
                                  : query::AttemptStatus::NotSent;
  if (Code != CURLE_OK)
    return query::AttemptStatus::Lost;
  long HttpCode = 0;
  ::curl_easy_getinfo(this->Easy, CURLINFO_RESPONSE_CODE, &HttpCode);
  return HttpCode == 200 ? query::AttemptStatus::Answered
                         : statusOfHttpCode(HttpCode);
}

std::size_t AttemptTransfer::readBody(char *Buffer, std::size_t Size,
                                      std::size_t Count, void *Self) {
  auto &Transfer = *static_cast<AttemptTransfer *>(Self);
  const std::size_t Left = Transfer.Spec.Body.size() - Transfer.BodyOffset;
  const std::size_t Length = std::min(Size * Count, Left);
  std::memcpy(Buffer, Transfer.Spec.Body.data() + Transfer.BodyOffset, Length);
  Transfer.BodyOffset += Length;
  return Length;
}

// libcurl calls this when it has a connection and before it sends anything,
// also before it repeats a request on its own. A transfer may have waited for a
// connection, so the deadline is checked here.
int AttemptTransfer::beforeRequest(void *Self, char *, char *, int, int Port) {
  auto &Transfer = *static_cast<AttemptTransfer *>(Self);
  if (Transfer.HasSendStarted)
    return CURL_PREREQFUNC_ABORT;
  if (Transfer.TimeSource.monotonicNow() >= Transfer.Spec.Deadline) {
    Transfer.IsDeadlineMissed = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Transfer.LocalPort = static_cast<std::uint16_t>(Port);
  Transfer.HasSendStarted = true;
  return CURL_PREREQFUNC_OK;
}

} // namespace acaciacross::traffic
