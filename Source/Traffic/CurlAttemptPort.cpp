#include "Traffic/CurlAttemptPort.h"

#include "Common/Error.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace acaciacross::traffic {

CurlAttemptPort::CurlAttemptPort(const common::Clock &Time)
    : Ticker(Time), Closing(Time), Sockets(this->Closing, *this),
      Multi(::curl_multi_init()) {
  if (!this->Multi)
    throw common::Error(common::ResultCode::InternalError,
                        "curl_multi_init failed");
  ::curl_multi_setopt(this->Multi, CURLMOPT_PIPELINING,
                      static_cast<long>(CURLPIPE_NOTHING));
  this->Pages.emplace(this->Multi, this->Sockets);
}

CurlAttemptPort::~CurlAttemptPort() {
  this->HoldSink = nullptr;
  for (const auto &[Id, Transfer] : this->Transfers)
    ::curl_multi_remove_handle(this->Multi, Transfer->handle());
  this->Transfers.clear();
  this->Pages.reset();
  ::curl_multi_cleanup(this->Multi);
}

// Without CURLMOPT_MAXCONNECTS libcurl keeps four connections per running
// transfer and would close idle ones that the next query needs.
void CurlAttemptPort::setConnectionLimits(std::uint32_t Quota,
                                          std::uint32_t Kept) {
  this->HasExcess = this->HasExcess || Quota < this->PerSearcher;
  this->PerSearcher = std::max(Quota, 1U);
  ::curl_multi_setopt(this->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(this->PerSearcher));
  ::curl_multi_setopt(this->Multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(std::max(Kept, 1U)));
  if (this->HasExcess) {
    this->Pages->giveUpAll();
    for (const auto &[Searcher, Endpoint] : this->EndpointOf)
      this->tellHeld(Searcher);
    this->closeExcess();
  }
}

void CurlAttemptPort::setHoldSink(ConnectionHoldSink &Told) {
  this->HoldSink = &Told;
}

void CurlAttemptPort::start(const query::AttemptSpec &Spec) {
  this->noteEndpoint(Spec.Searcher, Spec.Endpoint);
  if (!this->hasRoom(Spec.Searcher))
    this->giveUpPoll(Spec.Searcher);
  auto Transfer = std::make_unique<CurlTransfer>(Spec, this->Ticker);
  if (Transfer->handle())
    this->Sockets.attach(Transfer->handle());
  const bool IsAdded =
      Transfer->handle() &&
      ::curl_multi_add_handle(this->Multi, Transfer->handle()) == CURLM_OK;
  if (!IsAdded) {
    this->EndedAtStart.push_back(Transfer->end(CURLE_FAILED_INIT));
    return;
  }
  this->Transfers.emplace(Spec.Id, std::move(Transfer));
  ++this->RunningAt[Spec.Searcher];
}

void CurlAttemptPort::giveUpPoll(common::SearcherIndex Searcher) {
  this->Pages->giveUp(Searcher);
  this->tellHeld(Searcher);
}

void CurlAttemptPort::cancel(const common::AttemptId &Id) {
  std::erase_if(this->EndedAtStart, [&](const EndedAttempt &Ended) {
    return Ended.Result.Attempt == Id;
  });
  const auto Found = this->Transfers.find(Id);
  if (Found == this->Transfers.end())
    return;
  ::curl_multi_remove_handle(this->Multi, Found->second->handle());
  this->noteEnded(Found->second->spec().Searcher);
  this->Transfers.erase(Found);
}

std::vector<EndedAttempt> CurlAttemptPort::perform() {
  int Running = 0;
  ::curl_multi_perform(this->Multi, &Running);
  std::vector<EndedAttempt> Ended = std::exchange(this->EndedAtStart, {});
  this->collectEnded(Ended);
  this->endClosing();
  if (this->HasExcess)
    this->closeExcess();
  return Ended;
}

void CurlAttemptPort::collectEnded(std::vector<EndedAttempt> &Ended) {
  int Left = 0;
  while (const CURLMsg *Message = ::curl_multi_info_read(this->Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    // Removing the handle frees the message.
    const CURLcode Code = Message->data.result;
    CURL *Easy = Message->easy_handle;
    if (const auto Polled = this->Pages->finish(Easy, Code)) {
      this->tellHeld(*Polled);
      continue;
    }
    char *Private = nullptr;
    ::curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Private);
    const auto *Transfer =
        static_cast<const CurlTransfer *>(static_cast<void *>(Private));
    Ended.push_back(Transfer->end(Code));
    ::curl_multi_remove_handle(this->Multi, Easy);
    this->noteEnded(Ended.back().Searcher);
    this->Transfers.erase(Ended.back().Result.Attempt);
  }
}

void CurlAttemptPort::closeExcess() {
  std::set<std::uint16_t> BusyPorts;
  for (const auto &[Id, Transfer] : this->Transfers)
    BusyPorts.insert(Transfer->localPort());
  this->HasExcess = !this->Sockets.closeIdleAbove(this->PerSearcher, BusyPorts);
}

std::size_t CurlAttemptPort::openAt(const common::Address &Endpoint) const {
  return this->Sockets.openAt(Endpoint);
}

std::size_t CurlAttemptPort::peakConnections() const {
  return this->Sockets.peak();
}

void CurlAttemptPort::noteEnded(common::SearcherIndex Searcher) {
  const auto Count = this->RunningAt.find(Searcher);
  if (--Count->second == 0)
    this->RunningAt.erase(Count);
}

std::uint32_t CurlAttemptPort::running(common::SearcherIndex Searcher) const {
  const auto Count = this->RunningAt.find(Searcher);
  const std::uint32_t Attempts =
      Count == this->RunningAt.end() ? 0 : Count->second;
  return Attempts + this->held(Searcher);
}

bool CurlAttemptPort::hasRoom(common::SearcherIndex Searcher) const {
  return this->running(Searcher) < this->PerSearcher;
}

void CurlAttemptPort::startPoll(const PagePoll &Poll) {
  this->noteEndpoint(Poll.Searcher, Poll.Endpoint);
  this->Pages->start(Poll);
  this->tellHeld(Poll.Searcher);
}

void CurlAttemptPort::noteEndpoint(common::SearcherIndex Searcher,
                                   const common::Address &Endpoint) {
  common::Address &Known = this->EndpointOf[Searcher];
  if (Known == Endpoint)
    return;
  this->SearcherAt.erase(Known);
  Known = Endpoint;
  this->SearcherAt[Endpoint] = Searcher;
}

void CurlAttemptPort::onClosing(const common::Address &Endpoint) {
  const auto Searcher = this->SearcherAt.find(Endpoint);
  if (Searcher != this->SearcherAt.end())
    this->tellHeld(Searcher->second);
}

void CurlAttemptPort::endClosing() {
  for (const common::Address &Endpoint : this->Closing.takeReleased())
    this->onClosing(Endpoint);
}

void CurlAttemptPort::tellHeld(common::SearcherIndex Searcher) {
  if (this->HoldSink)
    this->HoldSink->onHeld(Searcher, this->held(Searcher));
}

std::uint32_t CurlAttemptPort::held(common::SearcherIndex Searcher) const {
  std::uint32_t Count = this->Pages->isRunning(Searcher) ? 1 : 0;
  const auto Endpoint = this->EndpointOf.find(Searcher);
  if (Endpoint != this->EndpointOf.end())
    Count +=
        static_cast<std::uint32_t>(this->Closing.countAt(Endpoint->second));
  return Count;
}

std::vector<EndedPoll> CurlAttemptPort::takeEndedPolls() {
  return this->Pages->takeEnded();
}

void CurlAttemptPort::wait(std::chrono::milliseconds Limit) {
  if (!this->EndedAtStart.empty())
    Limit = std::chrono::milliseconds::zero();
  if (const auto ReleaseAt = this->Closing.nextRelease())
    Limit = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(
                           *ReleaseAt - this->Ticker.monotonicNow()),
                       std::chrono::milliseconds::zero(), Limit);
  std::vector<curl_waitfd> Watched = this->Closing.watched();
  ::curl_multi_poll(this->Multi, Watched.data(),
                    static_cast<unsigned>(Watched.size()),
                    static_cast<int>(Limit.count()), nullptr);
}

void CurlAttemptPort::wake() { ::curl_multi_wakeup(this->Multi); }

} // namespace acaciacross::traffic
