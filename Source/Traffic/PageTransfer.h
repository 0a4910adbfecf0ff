#ifndef ACACIACROSS_TRAFFIC_PAGETRANSFER_H
#define ACACIACROSS_TRAFFIC_PAGETRANSFER_H

#include "Traffic/BoundedReply.h"
#include "Traffic/EndedPoll.h"

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace acaciacross::traffic {

/// One poll as a libcurl transfer.
class PageTransfer {
public:
  explicit PageTransfer(PagePoll Wanted);
  ~PageTransfer();

  PageTransfer(const PageTransfer &) = delete;
  PageTransfer &operator=(const PageTransfer &) = delete;

  /// Null when libcurl has failed.
  CURL *handle() const;
  const PagePoll &poll() const;

  /// How the poll ended, given libcurl's result.
  EndedPoll end(CURLcode Code) const;

private:
  void configure();
  std::optional<upstreams::PolledPage> pageOf(CURLcode Code) const;
  std::optional<upstreams::HealthStatus> statusOf(CURLcode Code) const;

  PagePoll Poll;
  CURL *Easy = nullptr;
  BoundedReply Reply;
};

} // namespace acaciacross::traffic

#endif
