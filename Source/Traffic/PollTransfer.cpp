#include "Traffic/PollTransfer.h"

#include "Traffic/PageCodec.h"

#include <cerrno>
#include <utility>

namespace acaciacross::traffic {

namespace {

constexpr std::size_t MaxPageBytes = std::size_t{64} << 10;
constexpr std::size_t MaxHeaderBytes = std::size_t{16} << 10;

// As for attempts, a poll does not wait for a retransmitted SYN.
constexpr long ConnectTimeoutMs = 250;
// A third of the period within which polls count, so that a searcher that does
// not answer takes up one of the concurrent polls only briefly.
constexpr long TimeoutMs = 500;

constexpr long HttpOk = 200;
constexpr long HttpServerError = 500;

} // namespace

PollTransfer::PollTransfer(PagePoll Poll)
    : Poll(std::move(Poll)), Easy(::curl_easy_init()),
      Reply(MaxPageBytes, MaxHeaderBytes) {
  if (this->Easy)
    this->configure();
}

PollTransfer::~PollTransfer() { ::curl_easy_cleanup(this->Easy); }

void PollTransfer::configure() {
  const auto Set = [this](CURLoption Option, auto Value) {
    ::curl_easy_setopt(this->Easy, Option, Value);
  };
  const std::string Url =
      "http://" + this->Poll.Endpoint.toString() +
      (this->Poll.Kind == PageKind::Health ? "/health" : "/load");
  Set(CURLOPT_URL, Url.c_str());
  Set(CURLOPT_NOSIGNAL, 1L);
  Set(CURLOPT_NOPROXY, "*");
  Set(CURLOPT_PROTOCOLS_STR, "http");
  Set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  Set(CURLOPT_TCP_NODELAY, 1L);
  Set(CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  Set(CURLOPT_TIMEOUT_MS, TimeoutMs);
  this->Reply.attach(this->Easy);
}

CURL *PollTransfer::handle() const { return this->Easy; }

const PagePoll &PollTransfer::poll() const { return this->Poll; }

FinishedPoll PollTransfer::end(CURLcode Code) const {
  return {this->Poll, this->decodePage(Code)};
}

std::optional<upstreams::PolledPage>
PollTransfer::decodePage(CURLcode Code) const {
  upstreams::PolledPage Polled{this->Poll.Searcher, this->Poll.Endpoint, {}};
  if (const auto Status = this->statusWithoutBody(Code)) {
    Polled.Page = upstreams::HealthPage{*Status, false};
    return Polled;
  }
  long HttpCode = 0;
  ::curl_easy_getinfo(this->Easy, CURLINFO_RESPONSE_CODE, &HttpCode);
  if (Code != CURLE_OK || HttpCode != HttpOk)
    return std::nullopt;
  if (this->Poll.Kind == PageKind::Health) {
    const auto Health = decodeHealthPage(this->Reply.body());
    if (!Health)
      return std::nullopt;
    Polled.Page = *Health;
    return Polled;
  }
  const auto Load = decodeLoadPage(this->Reply.body());
  if (!Load)
    return std::nullopt;
  Polled.Page = *Load;
  return Polled;
}

// The health status that follows without the body of the page. A draining
// searcher sets the header in every response, also in that of its load page.
std::optional<upstreams::HealthStatus>
PollTransfer::statusWithoutBody(CURLcode Code) const {
  long OsError = 0;
  ::curl_easy_getinfo(this->Easy, CURLINFO_OS_ERRNO, &OsError);
  if (Code == CURLE_COULDNT_CONNECT && OsError == ECONNREFUSED)
    return upstreams::HealthStatus::Refused;
  if (Code != CURLE_OK)
    return std::nullopt;
  if (this->Reply.isDraining())
    return upstreams::HealthStatus::Draining;
  long HttpCode = 0;
  ::curl_easy_getinfo(this->Easy, CURLINFO_RESPONSE_CODE, &HttpCode);
  const bool IsFailing =
      this->Poll.Kind == PageKind::Health && HttpCode >= HttpServerError;
  return IsFailing ? std::optional(upstreams::HealthStatus::Failing)
                   : std::nullopt;
}

} // namespace acaciacross::traffic
