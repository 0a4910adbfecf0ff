#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHREQUEST_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHREQUEST_H

#include "Common/Time.h"
#include "StandIns/Http/HttpRequest.h"

#include <optional>
#include <string>

namespace acaciacross::standins {

/// The headers of POST /search.
struct SearchRequest {
  std::string RequestId;
  std::string AttemptId;
  std::string ClassName;
  std::string Snapshot;
  std::uint32_t Shard = 0;
  common::WallTime Deadline;

  /// Empty when a header is missing or malformed.
  static std::optional<SearchRequest> parse(const HttpRequest &Request);
};

} // namespace acaciacross::standins

#endif
