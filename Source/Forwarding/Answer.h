#ifndef ACACIACROSS_FORWARDING_ANSWER_H
#define ACACIACROSS_FORWARDING_ANSWER_H

#include "Common/ResultCode.h"
#include "Forwarding/AnswerKind.h"
#include "Forwarding/AttemptSummary.h"
#include "Forwarding/Refusal.h"
#include "Http/Response.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// The result of one request, as it is returned to the caller.
struct Answer {
  AnswerKind Kind = AnswerKind::Failed;
  common::ResultCode Code = common::ResultCode::Ok;
  /// The status. For an upstream's answer also its end-to-end headers and body,
  /// for a gathered answer the merged body.
  http::Response Message;
  /// Stamps of the shards whose records are in the answer.
  std::vector<std::string> Stamps;
  std::size_t MissingShards = 0;
  /// Set when the request was rejected before anything was sent.
  std::optional<Refusal> Rejected;
  /// How long the caller should wait before it retries.
  std::optional<std::chrono::milliseconds> RetryAfter;
  std::vector<AttemptSummary> Attempts;
};

} // namespace acaciacross::forwarding

#endif
