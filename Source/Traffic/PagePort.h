#ifndef ACACIACROSS_TRAFFIC_PAGEPORT_H
#define ACACIACROSS_TRAFFIC_PAGEPORT_H

#include "Traffic/EndedPoll.h"
#include "Traffic/PageTransfer.h"
#include "Traffic/UpstreamSockets.h"

#include <curl/curl.h>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acaciacross::traffic {

/// Runs polls on a libcurl multi handle that also runs attempts.
class PagePort {
public:
  /// Shared and Counted must outlive the port.
  PagePort(CURLM *Shared, UpstreamSockets &Counted);
  ~PagePort();

  PagePort(const PagePort &) = delete;
  PagePort &operator=(const PagePort &) = delete;

  /// At most one poll of a searcher runs at a time.
  void start(const PagePoll &Poll);

  /// Gives up the running poll of the searcher, if there is one, and closes its
  /// connection.
  void giveUp(common::SearcherIndex Searcher);

  /// Gives up all running polls.
  void giveUpAll();

  bool isRunning(common::SearcherIndex Searcher) const;

  /// Takes libcurl's result and gives the searcher; empty when the transfer is
  /// not a poll.
  std::optional<common::SearcherIndex> finish(CURL *Easy, CURLcode Code);

  std::vector<EndedPoll> takeEnded();

private:
  CURLM *Multi;
  UpstreamSockets &Sockets;
  std::unordered_map<CURL *, std::unique_ptr<PageTransfer>> Transfers;
  std::map<common::SearcherIndex, CURL *> BySearcher;
  std::vector<EndedPoll> Ended;
};

} // namespace acaciacross::traffic

#endif
