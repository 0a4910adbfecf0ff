#include "Traffic/PollSender.h"

#include <utility>

namespace acaciacross::traffic {

PollSender::PollSender(CURLM *Multi, UpstreamSockets &Sockets)
    : Multi(Multi), Sockets(Sockets) {}

PollSender::~PollSender() {
  for (const auto &[Easy, Transfer] : this->Transfers)
    ::curl_multi_remove_handle(this->Multi, Easy);
}

void PollSender::start(const PagePoll &Poll) {
  auto Transfer = std::make_unique<PollTransfer>(Poll);
  CURL *Easy = Transfer->handle();
  if (Easy)
    this->Sockets.attach(Easy);
  const bool IsAdded = !this->isRunning(Poll.Searcher) && Easy &&
                       ::curl_multi_add_handle(this->Multi, Easy) == CURLM_OK;
  if (!IsAdded) {
    this->Finished.push_back({Poll, {}});
    return;
  }
  this->BySearcher.emplace(Poll.Searcher, Easy);
  this->Transfers.emplace(Easy, std::move(Transfer));
}

void PollSender::abort(common::SearcherIndex Searcher) {
  const auto Found = this->BySearcher.find(Searcher);
  if (Found != this->BySearcher.end())
    this->finish(Found->second, CURLE_ABORTED_BY_CALLBACK);
}

void PollSender::abortAll() {
  while (!this->BySearcher.empty())
    this->abort(this->BySearcher.begin()->first);
}

bool PollSender::isRunning(common::SearcherIndex Searcher) const {
  return this->BySearcher.contains(Searcher);
}

std::optional<common::SearcherIndex> PollSender::finish(CURL *Easy,
                                                        CURLcode Code) {
  const auto Found = this->Transfers.find(Easy);
  if (Found == this->Transfers.end())
    return std::nullopt;
  const common::SearcherIndex Searcher = Found->second->poll().Searcher;
  this->Finished.push_back(Found->second->end(Code));
  ::curl_multi_remove_handle(this->Multi, Easy);
  this->BySearcher.erase(Searcher);
  this->Transfers.erase(Found);
  return Searcher;
}

std::vector<FinishedPoll> PollSender::takeFinished() {
  return std::exchange(this->Finished, {});
}

} // namespace acaciacross::traffic
