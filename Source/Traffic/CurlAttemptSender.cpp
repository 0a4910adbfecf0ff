#include "Traffic/CurlAttemptSender.h"

#include "Common/Error.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace acaciacross::traffic {

CurlAttemptSender::CurlAttemptSender(const common::Clock &Time)
    : TimeSource(Time), Closing(Time), Sockets(this->Closing, *this),
      Multi(::curl_multi_init()) {
  if (!this->Multi)
    throw common::Error(common::ResultCode::InternalError,
                        "curl_multi_init failed");
  ::curl_multi_setopt(this->Multi, CURLMOPT_PIPELINING,
                      static_cast<long>(CURLPIPE_NOTHING));
  this->Polls.emplace(this->Multi, this->Sockets);
}

CurlAttemptSender::~CurlAttemptSender() {
  this->ReservedSink = nullptr;
  for (const auto &[Id, Transfer] : this->Transfers)
    ::curl_multi_remove_handle(this->Multi, Transfer->handle());
  this->Transfers.clear();
  this->Polls.reset();
  ::curl_multi_cleanup(this->Multi);
}

// Without CURLMOPT_MAXCONNECTS libcurl keeps four connections per running
// transfer and would close idle connections that the next query needs.
void CurlAttemptSender::setConnectionLimits(std::uint32_t Quota,
                                            std::uint32_t MaxCached) {
  this->HasExcessConnections =
      this->HasExcessConnections || Quota < this->QuotaPerSearcher;
  this->QuotaPerSearcher = std::max(Quota, 1U);
  ::curl_multi_setopt(this->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(this->QuotaPerSearcher));
  ::curl_multi_setopt(this->Multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(std::max(MaxCached, 1U)));
  if (this->HasExcessConnections) {
    this->Polls->abortAll();
    for (const auto &[Searcher, Endpoint] : this->EndpointOf)
      this->reportReserved(Searcher);
    this->closeExcessConnections();
  }
}

void CurlAttemptSender::setReservedConnectionSink(
    ReservedConnectionSink &Sink) {
  this->ReservedSink = &Sink;
}

void CurlAttemptSender::start(const query::AttemptSpec &Spec) {
  this->recordEndpoint(Spec.Searcher, Spec.Endpoint);
  if (!this->hasFreeConnection(Spec.Searcher))
    this->abortPoll(Spec.Searcher);
  auto Transfer = std::make_unique<AttemptTransfer>(Spec, this->TimeSource);
  if (Transfer->handle())
    this->Sockets.attach(Transfer->handle());
  const bool IsAdded =
      Transfer->handle() &&
      ::curl_multi_add_handle(this->Multi, Transfer->handle()) == CURLM_OK;
  if (!IsAdded) {
    this->FailedStarts.push_back(Transfer->end(CURLE_FAILED_INIT));
    return;
  }
  this->Transfers.emplace(Spec.Id, std::move(Transfer));
  ++this->RunningAttempts[Spec.Searcher];
}

void CurlAttemptSender::abortPoll(common::SearcherIndex Searcher) {
  this->Polls->abort(Searcher);
  this->reportReserved(Searcher);
}

void CurlAttemptSender::cancel(const common::AttemptId &Id) {
  std::erase_if(this->FailedStarts, [&](const EndedAttempt &Ended) {
    return Ended.Result.Attempt == Id;
  });
  const auto Found = this->Transfers.find(Id);
  if (Found == this->Transfers.end())
    return;
  ::curl_multi_remove_handle(this->Multi, Found->second->handle());
  this->recordEnded(Found->second->spec().Searcher);
  this->Transfers.erase(Found);
}

std::vector<EndedAttempt> CurlAttemptSender::perform() {
  int Running = 0;
  ::curl_multi_perform(this->Multi, &Running);
  std::vector<EndedAttempt> Ended = std::exchange(this->FailedStarts, {});
  this->collectEnded(Ended);
  this->releaseClosingSockets();
  if (this->HasExcessConnections)
    this->closeExcessConnections();
  return Ended;
}

void CurlAttemptSender::collectEnded(std::vector<EndedAttempt> &Ended) {
  int Left = 0;
  while (const CURLMsg *Message = ::curl_multi_info_read(this->Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    // Copied first, since removing the handle frees the message.
    const CURLcode Code = Message->data.result;
    CURL *Easy = Message->easy_handle;
    if (const auto Searcher = this->Polls->finish(Easy, Code)) {
      this->reportReserved(*Searcher);
      continue;
    }
    char *Private = nullptr;
    ::curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Private);
    const auto *Transfer =
        static_cast<const AttemptTransfer *>(static_cast<void *>(Private));
    Ended.push_back(Transfer->end(Code));
    ::curl_multi_remove_handle(this->Multi, Easy);
    this->recordEnded(Ended.back().Searcher);
    this->Transfers.erase(Ended.back().Result.Attempt);
  }
}

void CurlAttemptSender::closeExcessConnections() {
  std::set<std::uint16_t> BusyPorts;
  for (const auto &[Id, Transfer] : this->Transfers)
    BusyPorts.insert(Transfer->localPort());
  this->HasExcessConnections =
      !this->Sockets.closeIdleAbove(this->QuotaPerSearcher, BusyPorts);
}

std::size_t
CurlAttemptSender::openConnectionCount(const common::Address &Endpoint) const {
  return this->Sockets.openConnectionCount(Endpoint);
}

std::size_t CurlAttemptSender::peakConnectionCount() const {
  return this->Sockets.peakConnectionCount();
}

void CurlAttemptSender::recordEnded(common::SearcherIndex Searcher) {
  const auto Count = this->RunningAttempts.find(Searcher);
  if (--Count->second == 0)
    this->RunningAttempts.erase(Count);
}

std::uint32_t CurlAttemptSender::running(common::SearcherIndex Searcher) const {
  const auto Count = this->RunningAttempts.find(Searcher);
  const std::uint32_t Attempts =
      Count == this->RunningAttempts.end() ? 0 : Count->second;
  return Attempts + this->reservedCount(Searcher);
}

bool CurlAttemptSender::hasFreeConnection(
    common::SearcherIndex Searcher) const {
  return this->running(Searcher) < this->QuotaPerSearcher;
}

void CurlAttemptSender::startPoll(const PagePoll &Poll) {
  this->recordEndpoint(Poll.Searcher, Poll.Endpoint);
  this->Polls->start(Poll);
  this->reportReserved(Poll.Searcher);
}

void CurlAttemptSender::recordEndpoint(common::SearcherIndex Searcher,
                                       const common::Address &Endpoint) {
  common::Address &KnownEndpoint = this->EndpointOf[Searcher];
  if (KnownEndpoint == Endpoint)
    return;
  this->SearcherAt.erase(KnownEndpoint);
  KnownEndpoint = Endpoint;
  this->SearcherAt[Endpoint] = Searcher;
}

void CurlAttemptSender::onClosing(const common::Address &Endpoint) {
  const auto Searcher = this->SearcherAt.find(Endpoint);
  if (Searcher != this->SearcherAt.end())
    this->reportReserved(Searcher->second);
}

void CurlAttemptSender::releaseClosingSockets() {
  for (const common::Address &Endpoint : this->Closing.closeFinished())
    this->onClosing(Endpoint);
}

void CurlAttemptSender::reportReserved(common::SearcherIndex Searcher) {
  if (this->ReservedSink)
    this->ReservedSink->onReservedConnections(Searcher,
                                              this->reservedCount(Searcher));
}

std::uint32_t
CurlAttemptSender::reservedCount(common::SearcherIndex Searcher) const {
  std::uint32_t Count = this->Polls->isRunning(Searcher) ? 1 : 0;
  const auto Endpoint = this->EndpointOf.find(Searcher);
  if (Endpoint != this->EndpointOf.end())
    Count +=
        static_cast<std::uint32_t>(this->Closing.countFor(Endpoint->second));
  return Count;
}

std::vector<FinishedPoll> CurlAttemptSender::takeFinishedPolls() {
  return this->Polls->takeFinished();
}

void CurlAttemptSender::wait(std::chrono::milliseconds MaxWait) {
  if (!this->FailedStarts.empty())
    MaxWait = std::chrono::milliseconds::zero();
  if (const auto CloseAt = this->Closing.nextCloseTime())
    MaxWait = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(
                             *CloseAt - this->TimeSource.monotonicNow()),
                         std::chrono::milliseconds::zero(), MaxWait);
  std::vector<curl_waitfd> Descriptors = this->Closing.pollDescriptors();
  ::curl_multi_poll(this->Multi, Descriptors.data(),
                    static_cast<unsigned>(Descriptors.size()),
                    static_cast<int>(MaxWait.count()), nullptr);
}

void CurlAttemptSender::wake() { ::curl_multi_wakeup(this->Multi); }

} // namespace acaciacross::traffic
