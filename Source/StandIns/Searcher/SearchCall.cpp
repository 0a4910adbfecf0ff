#include "StandIns/Searcher/SearchCall.h"

#include <charconv>

namespace acaciacross::standins {

namespace {

template <typename T> bool parseNumber(const std::string &Text, T &Value) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

std::optional<SearchCall> SearchCall::parse(const HttpRequest &Request) {
  SearchCall Call;
  Call.RequestId = Request.header("x-request-id");
  Call.AttemptId = Request.header("x-attempt-id");
  Call.ClassName = Request.header("x-class");
  Call.Snapshot = Request.header("x-snapshot");
  std::int64_t Deadline = 0;
  if (Call.RequestId.empty() || Call.AttemptId.empty() ||
      Call.Snapshot.empty() ||
      !parseNumber(Request.header("x-shard"), Call.Shard) ||
      !parseNumber(Request.header("x-deadline-unix-ms"), Deadline))
    return std::nullopt;
  Call.Deadline = common::WallTime(std::chrono::milliseconds(Deadline));
  return Call;
}

} // namespace acaciacross::standins
