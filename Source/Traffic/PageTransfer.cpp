#include "Traffic/PageTransfer.h"

#include "Traffic/PageCodec.h"

#include <cerrno>
#include <utility>

namespace acaciacross::traffic {

namespace {

constexpr std::size_t MaxPageBytes = std::size_t{64} << 10;
constexpr std::size_t MaxHeaderBytes = std::size_t{16} << 10;

// As for attempts; a poll must not wait for a repeated SYN either.
constexpr long ConnectTimeoutMs = 250;
// A third of the period within which polls count, so that a searcher that does
// not answer holds a place among the running polls for a short time only.
constexpr long TimeoutMs = 500;

constexpr long HttpOk = 200;
constexpr long HttpServerError = 500;

} // namespace

PageTransfer::PageTransfer(PagePoll Wanted)
    : Poll(std::move(Wanted)), Easy(::curl_easy_init()),
      Reply(MaxPageBytes, MaxHeaderBytes) {
  if (this->Easy)
    this->configure();
}

PageTransfer::~PageTransfer() { ::curl_easy_cleanup(this->Easy); }

void PageTransfer::configure() {
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

CURL *PageTransfer::handle() const { return this->Easy; }

const PagePoll &PageTransfer::poll() const { return this->Poll; }

EndedPoll PageTransfer::end(CURLcode Code) const {
  return {this->Poll, this->pageOf(Code)};
}

std::optional<upstreams::PolledPage> PageTransfer::pageOf(CURLcode Code) const {
  upstreams::PolledPage Polled{this->Poll.Searcher, this->Poll.Endpoint, {}};
  if (const auto Status = this->statusOf(Code)) {
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

// What is known without the text of the page. A searcher that is leaving says
// so in the header of every response, also that of its load page.
std::optional<upstreams::HealthStatus>
PageTransfer::statusOf(CURLcode Code) const {
  long Error = 0;
  ::curl_easy_getinfo(this->Easy, CURLINFO_OS_ERRNO, &Error);
  if (Code == CURLE_COULDNT_CONNECT && Error == ECONNREFUSED)
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
