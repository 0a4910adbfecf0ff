#ifndef ACACIACROSS_TRAFFIC_ATTEMPTTRANSFER_H
#define ACACIACROSS_TRAFFIC_ATTEMPTTRANSFER_H

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
class AttemptTransfer {
public:
  AttemptTransfer(const query::AttemptSpec &Attempt, const common::Clock &Time);
  ~AttemptTransfer();

  AttemptTransfer(const AttemptTransfer &) = delete;
  AttemptTransfer &operator=(const AttemptTransfer &) = delete;

  /// Null if the attempt cannot be encoded as a request or libcurl failed.
  CURL *handle() const;

  const query::AttemptSpec &spec() const;

  /// Local port of the connection; 0 while the transfer has none.
  std::uint16_t localPort() const;

  /// Returns the result of the attempt for libcurl's result code.
  EndedAttempt end(CURLcode Code) const;

private:
  void configure();
  query::AttemptStatus statusOf(CURLcode Code) const;

  static std::size_t readBody(char *Buffer, std::size_t Size, std::size_t Count,
                              void *Self);
  static int beforeRequest(void *Self, char *, char *, int, int);

  query::AttemptSpec Spec;
  const common::Clock &TimeSource;
  common::MonotonicTime StartedAt;

  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  std::size_t BodyOffset = 0;
  BoundedReply Reply;
  std::uint16_t LocalPort = 0;

  /// When set, a part of the request may have been sent.
  bool HasSendStarted = false;
  bool IsDeadlineMissed = false;
};

} // namespace acaciacross::traffic

#endif
