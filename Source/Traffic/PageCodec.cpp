#include "Traffic/PageCodec.h"

#include "Json/JsonObject.h"

#include <limits>
#include <string>

namespace acaciacross::traffic {

namespace {

std::optional<upstreams::HealthStatus> statusOf(const std::string &Name) {
  if (Name == "serving")
    return upstreams::HealthStatus::InService;
  if (Name == "leaving")
    return upstreams::HealthStatus::Draining;
  if (Name == "failing")
    return upstreams::HealthStatus::Failing;
  return std::nullopt;
}

std::optional<std::uint32_t> count(const json::JsonObject &Object,
                                   const std::string &Name) {
  const auto Number = Object.unsignedInteger(Name);
  if (!Number || *Number > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(*Number);
}

} // namespace

std::optional<upstreams::HealthPage> decodeHealthPage(std::string_view Text) {
  const auto Object = json::JsonObject::parse(Text);
  if (!Object)
    return std::nullopt;
  const auto Name = Object->string("status");
  const auto Status = Name ? statusOf(*Name) : std::nullopt;
  const auto Cold = Object->boolean("cold");
  if (!Status || !Cold || !Object->has("snapshots"))
    return std::nullopt;
  return upstreams::HealthPage{*Status, *Cold};
}

std::optional<upstreams::LoadPage> decodeLoadPage(std::string_view Text) {
  const auto Object = json::JsonObject::parse(Text);
  if (!Object)
    return std::nullopt;
  const auto Busy = count(*Object, "busy");
  const auto Queued = count(*Object, "queued");
  const auto Slots = count(*Object, "slots");
  if (!Busy || !Queued || !Slots || *Slots == 0)
    return std::nullopt;
  return upstreams::LoadPage{*Busy, *Queued, *Slots};
}

} // namespace acaciacross::traffic
