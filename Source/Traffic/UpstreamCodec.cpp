#include "Traffic/UpstreamCodec.h"

#include "Json/JsonObject.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace acaciacross::traffic {

namespace {

bool hasControlCharacter(const std::string &Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Character) {
    const auto Byte = static_cast<unsigned char>(Character);
    return Byte < 0x20 || Byte == 0x7f;
  });
}

} // namespace

std::optional<std::vector<std::string>>
encodeAttemptHeaders(const query::AttemptSpec &Spec) {
  const auto Deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      Spec.WallDeadline.time_since_epoch());
  std::vector<std::string> Lines = {
      "Content-Type: application/octet-stream",
      // Without this libcurl would wait for "100 Continue" before a large body.
      "Expect:",
      "X-Request-Id: " + Spec.Request.Value,
      "X-Attempt-Id: " + Spec.Id.toString(),
      "X-Class: " + Spec.Class.Value,
      "X-Snapshot: " + Spec.Snapshot.Value,
      "X-Shard: " + std::to_string(Spec.Shard.Value),
      "X-Deadline-Unix-Ms: " + std::to_string(Deadline.count()),
  };
  if (std::any_of(Lines.begin(), Lines.end(), hasControlCharacter))
    return std::nullopt;
  return Lines;
}

std::optional<query::ShardReply> decodeShardReply(std::string_view Text) {
  const auto Object = json::JsonObject::parse(Text);
  if (!Object)
    return std::nullopt;
  const auto AttemptText = Object->string("attempt_id");
  const auto Attempt =
      AttemptText ? common::AttemptId::parse(*AttemptText) : std::nullopt;
  const auto Snapshot = Object->string("snapshot");
  const auto Shard = Object->unsignedInteger("shard");
  const auto Begin = Object->unsignedInteger("range_begin");
  const auto End = Object->unsignedInteger("range_end");
  const auto Body = Object->string("body");
  if (!Attempt || !Snapshot || !Shard || !Begin || !End || !Body)
    return std::nullopt;
  if (*Shard > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return query::ShardReply{*Attempt, common::SnapshotId(*Snapshot),
                           common::ShardId(static_cast<std::uint32_t>(*Shard)),
                           common::KeyRange{*Begin, *End}, *Body};
}

query::AttemptStatus statusOfHttpCode(long HttpCode) {
  switch (HttpCode) {
  case 503:
    return query::AttemptStatus::Shed;
  case 410:
    return query::AttemptStatus::SnapshotGone;
  case 409:
    return query::AttemptStatus::ShardGone;
  case 504:
    return query::AttemptStatus::ExpiredBeforeStart;
  default:
    return query::AttemptStatus::Lost;
  }
}

} // namespace acaciacross::traffic
