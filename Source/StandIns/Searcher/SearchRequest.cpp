#include "StandIns/Searcher/SearchRequest.h"

#include <charconv>

namespace acaciacross::standins {

namespace {

template <typename T> bool parseNumber(const std::string &Text, T &Value) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

std::optional<SearchRequest> SearchRequest::parse(const HttpRequest &Request) {
  SearchRequest Search;
  Search.RequestId = Request.header("x-request-id");
  Search.AttemptId = Request.header("x-attempt-id");
  Search.ClassName = Request.header("x-class");
  Search.Snapshot = Request.header("x-snapshot");
  std::int64_t Deadline = 0;
  if (Search.RequestId.empty() || Search.AttemptId.empty() ||
      Search.Snapshot.empty() ||
      !parseNumber(Request.header("x-shard"), Search.Shard) ||
      !parseNumber(Request.header("x-deadline-unix-ms"), Deadline))
    return std::nullopt;
  Search.Deadline = common::WallTime(std::chrono::milliseconds(Deadline));
  return Search;
}

} // namespace acaciacross::standins
