#include "StandIns/Platform/PlatformCodec.h"

#include "StandIns/Http/JsonText.h"

namespace acaciacross::standins {

template <typename Archive> void serialize(Archive &Ar, ChangeEntry &Entry) {
  Ar(cereal::make_nvp("key", Entry.Key),
     cereal::make_nvp("revision", Entry.Revision),
     cereal::make_nvp("text", Entry.Text));
}

template <typename Archive> void serialize(Archive &Ar, VmEntry &Entry) {
  Ar(cereal::make_nvp("id", Entry.Id), cereal::make_nvp("kind", Entry.Kind),
     cereal::make_nvp("host", Entry.Host), cereal::make_nvp("port", Entry.Port),
     cereal::make_nvp("state", Entry.State));
}

namespace {

struct ChangesBody {
  ChangesReply Reply;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("revision", this->Reply.Revision),
       cereal::make_nvp("complete", this->Reply.Complete),
       cereal::make_nvp("changes", this->Reply.Changes));
  }
};

struct VmsBody {
  std::vector<VmEntry> Vms;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("vms", this->Vms));
  }
};

struct RevisionBody {
  std::uint64_t Revision;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("revision", this->Revision));
  }
};

bool isValid(const VmEntry &Entry) {
  return (Entry.Kind == "entry" || Entry.Kind == "upstream") &&
         (Entry.State == "live" || Entry.State == "leaving");
}

} // namespace

std::string PlatformCodec::encode(const ChangesReply &Reply) {
  ChangesBody Body{Reply};
  return toJson(Body);
}

std::string PlatformCodec::encode(const std::vector<VmEntry> &List) {
  VmsBody Body{List};
  return toJson(Body);
}

std::string PlatformCodec::encodeRevision(std::uint64_t Revision) {
  RevisionBody Body{Revision};
  return toJson(Body);
}

std::optional<std::vector<VmEntry>>
PlatformCodec::decodeVms(const std::string &Text) {
  try {
    VmsBody Body = fromJson<VmsBody>(Text);
    for (const VmEntry &Entry : Body.Vms)
      if (!isValid(Entry))
        return std::nullopt;
    return Body.Vms;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace acaciacross::standins
