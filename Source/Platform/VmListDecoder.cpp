#include "Platform/VmListDecoder.h"

#include "Platform/JsonBody.h"

#include <limits>
#include <optional>

namespace acaciacross::platform {

namespace {

struct VmJson {
  std::string Id;
  std::string Kind;
  std::string Host;
  // Wider than a port, because cereal truncates values that do not fit.
  std::int64_t Port = 0;
  std::string State;

  template <typename Archive> void load(Archive &Input) {
    Input(cereal::make_nvp("id", this->Id),
          cereal::make_nvp("kind", this->Kind),
          cereal::make_nvp("host", this->Host),
          cereal::make_nvp("port", this->Port),
          cereal::make_nvp("state", this->State));
  }
};

struct ListJson {
  std::vector<VmJson> Vms;

  template <typename Archive> void load(Archive &Input) {
    Input(cereal::make_nvp("vms", this->Vms));
  }
};

std::optional<control::VmListEntry> decodeEntry(const VmJson &Json) {
  control::VmListEntry Entry;
  Entry.Id = Json.Id;
  const auto Endpoint =
      common::Address::parse(Json.Host + ":" + std::to_string(Json.Port));
  if (!Endpoint || Json.Id.empty())
    return std::nullopt;
  Entry.Endpoint = *Endpoint;

  if (Json.Kind == "upstream")
    Entry.Kind = control::VmKind::Upstream;
  else if (Json.Kind != "entry")
    return std::nullopt;
  if (Json.State == "leaving")
    Entry.State = control::VmState::Leaving;
  else if (Json.State != "live")
    return std::nullopt;
  return Entry;
}

} // namespace

std::vector<control::VmListEntry>
VmListDecoder::decode(const std::string &Body) {
  std::vector<control::VmListEntry> Entries;
  for (const VmJson &Json : decodeJson<ListJson>(Body).Vms)
    if (auto Entry = decodeEntry(Json))
      Entries.push_back(std::move(*Entry));
  return Entries;
}

} // namespace acaciacross::platform
