#ifndef ACACIACROSS_TRAFFIC_POLLTRANSFER_H
#define ACACIACROSS_TRAFFIC_POLLTRANSFER_H

#include "Traffic/BoundedReply.h"
#include "Traffic/FinishedPoll.h"

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace acaciacross::traffic {

/// One poll as a libcurl transfer.
class PollTransfer {
public:
  explicit PollTransfer(PagePoll Poll);
  ~PollTransfer();

  PollTransfer(const PollTransfer &) = delete;
  PollTransfer &operator=(const PollTransfer &) = delete;

  /// Null if libcurl could not create the transfer.
  CURL *handle() const;
  const PagePoll &poll() const;

  /// Returns the result of the poll for libcurl's result code.
  FinishedPoll end(CURLcode Code) const;

private:
  void configure();
  std::optional<upstreams::PolledPage> decodePage(CURLcode Code) const;
  std::optional<upstreams::HealthStatus> statusWithoutBody(CURLcode Code) const;

  PagePoll Poll;
  CURL *Easy = nullptr;
  BoundedReply Reply;
};

} // namespace acaciacross::traffic

#endif
