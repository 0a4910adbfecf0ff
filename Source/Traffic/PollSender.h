#ifndef ACACIACROSS_TRAFFIC_POLLSENDER_H
#define ACACIACROSS_TRAFFIC_POLLSENDER_H

#include "Traffic/FinishedPoll.h"
#include "Traffic/PollTransfer.h"
#include "Traffic/UpstreamSockets.h"

#include <curl/curl.h>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acaciacross::traffic {

/// Sends polls on a libcurl multi handle that also runs attempts.
class PollSender {
public:
  /// Multi and Sockets must outlive this object.
  PollSender(CURLM *Multi, UpstreamSockets &Sockets);
  ~PollSender();

  PollSender(const PollSender &) = delete;
  PollSender &operator=(const PollSender &) = delete;

  /// Starts a poll. At most one poll of a searcher runs at a time; another one
  /// ends without a page.
  void start(const PagePoll &Poll);

  /// Aborts the running poll of the searcher, if there is one, and closes its
  /// connection.
  void abort(common::SearcherIndex Searcher);

  void abortAll();

  bool isRunning(common::SearcherIndex Searcher) const;

  /// Ends the poll with libcurl's result and returns its searcher; empty if the
  /// transfer is not a poll.
  std::optional<common::SearcherIndex> finish(CURL *Easy, CURLcode Code);

  std::vector<FinishedPoll> takeFinished();

private:
  CURLM *Multi;
  UpstreamSockets &Sockets;
  std::unordered_map<CURL *, std::unique_ptr<PollTransfer>> Transfers;
  std::map<common::SearcherIndex, CURL *> BySearcher;
  std::vector<FinishedPoll> Finished;
};

} // namespace acaciacross::traffic

#endif
