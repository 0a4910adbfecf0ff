#ifndef ACACIACROSS_FORWARDING_ANSWER_H
#define ACACIACROSS_FORWARDING_ANSWER_H

#include "Common/ResultCode.h"
#include "Forwarding/AnswerKind.h"
#include "Forwarding/AttemptNote.h"
#include "Forwarding/Refusal.h"
#include "Http/Response.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// The answer to one request.
struct Answer {
  AnswerKind Kind = AnswerKind::Failed;
  common::ResultCode Code = common::ResultCode::Ok;
  /// Status, and for an upstream's or a gathered answer the body; the
  /// upstream's end-to-end headers.
  http::Response Message;
  /// The proofs of the shards that are in.
  std::vector<std::string> Stamps;
  std::size_t MissingShards = 0;
  /// Set when the request was rejected before anything was sent.
  std::optional<Refusal> Rejected;
  /// When to ask again.
  std::optional<std::chrono::milliseconds> RetryAfter;
  std::vector<AttemptNote> Attempts;
};

} // namespace acaciacross::forwarding

#endif
