#ifndef ACACIACROSS_TRAFFIC_CURLTRANSFER_H
#define ACACIACROSS_TRAFFIC_CURLTRANSFER_H

#include "Common/Clock.h"
#include "Query/AttemptSpec.h"
#include "Traffic/BoundedReply.h"
#include "Traffic/EndedAttempt.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace acaciacross::traffic {

/// One attempt as a libcurl transfer.
class CurlTransfer {
public:
  CurlTransfer(const query::AttemptSpec &Attempt, const common::Clock &Time);
  ~CurlTransfer();

  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;

  /// Null when the attempt cannot be put into a request.
  CURL *handle() const;

  const query::AttemptSpec &spec() const;

  /// Of its connection; 0 while it has none.
  std::uint16_t localPort() const;

  /// How the attempt ended, given libcurl's result.
  EndedAttempt end(CURLcode Code) const;

private:
  void configure();
  query::AttemptStatus statusOf(CURLcode Code) const;

  static std::size_t readBody(char *Buffer, std::size_t Size, std::size_t Count,
                              void *Self);
  static int beforeRequest(void *Self, char *, char *, int, int);

  query::AttemptSpec Spec;
  const common::Clock &Ticker;
  common::MonotonicTime StartedAt;

  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  std::size_t BodyOffset = 0;
  BoundedReply Reply;
  std::uint16_t LocalPort = 0;

  /// From here on a byte of the request may have been sent.
  bool IsRequestReleased = false;
  bool IsDeadlineMissed = false;
};

} // namespace acaciacross::traffic

#endif
