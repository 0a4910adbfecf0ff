#include "StandIns/Platform/PlatformControlEndpoint.h"

#include "StandIns/Http/JsonText.h"
#include "StandIns/Platform/PlatformCodec.h"

#include <limits>

namespace acaciacross::standins {

namespace {

constexpr std::string_view ConfigurationPrefix = "/control/config/";
constexpr std::size_t MaxValueBytes = std::size_t{1} << 20;

struct Counters {
  std::uint64_t ConfigurationCalls;
  std::uint64_t ConfigurationRefused;
  std::uint64_t Waiting;
  std::uint64_t PeakPerSecond;
  std::uint64_t VmListCalls;
  std::uint64_t Revision;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("config_calls", this->ConfigurationCalls),
       cereal::make_nvp("config_refused", this->ConfigurationRefused),
       cereal::make_nvp("config_open", this->Waiting),
       cereal::make_nvp("config_peak_per_second", this->PeakPerSecond),
       cereal::make_nvp("vms_calls", this->VmListCalls),
       cereal::make_nvp("revision", this->Revision));
  }
};

} // namespace

PlatformControlEndpoint::PlatformControlEndpoint(PlatformState &Shared)
    : Shared(Shared) {}

HttpResponse PlatformControlEndpoint::handle(const HttpRequest &Request) {
  const std::string Call = Request.Method + ' ' + Request.Path;
  if (Request.Method == "PUT" && Request.Path.starts_with(ConfigurationPrefix))
    return this->publish(Request.Path.substr(ConfigurationPrefix.size()),
                         Request.Body);
  if (Call == "PUT /control/vms")
    return this->replaceVms(Request.Body);
  if (Call == "POST /control/mode")
    return this->setMode(Request);
  if (Call == "GET /control/counters")
    return this->counters();
  return {.Status = 404, .Body = "{}"};
}

HttpResponse PlatformControlEndpoint::publish(const std::string &Key,
                                              const std::string &Text) {
  if (Key.empty() || Text.size() > MaxValueBytes)
    return {.Status = 400, .Body = "{}"};
  const std::scoped_lock Lock(this->Shared.Mutex);
  const std::uint64_t Revision = this->Shared.Log.publish(Key, Text);
  this->Shared.Changed.notify_all();
  return {.Body = PlatformCodec::encodeRevision(Revision)};
}

HttpResponse PlatformControlEndpoint::replaceVms(const std::string &Text) {
  auto List = PlatformCodec::decodeVms(Text);
  if (!List)
    return {.Status = 400, .Body = "{}"};
  const std::scoped_lock Lock(this->Shared.Mutex);
  this->Shared.Vms.set(std::chrono::steady_clock::now(), std::move(*List));
  return {.Body = "{}"};
}

HttpResponse PlatformControlEndpoint::setMode(const HttpRequest &Request) {
  const std::string Service = Request.parameter("config", "normal");
  const std::string List = Request.parameter("vms", "normal");
  const auto Revision = Request.numberParameter("revision");
  const bool IsStale = Service == "stale";
  if ((Service != "normal" && Service != "down" && !IsStale) ||
      (List != "normal" && List != "down") || IsStale != Revision.has_value())
    return {.Status = 400, .Body = "{}"};

  const std::scoped_lock Lock(this->Shared.Mutex);
  PlatformMode &Mode = this->Shared.Mode;
  if (Request.Parameters.contains("config")) {
    Mode.ConfigurationDown = Service == "down";
    Mode.LatestShown = IsStale ? static_cast<std::uint64_t>(*Revision)
                               : std::numeric_limits<std::uint64_t>::max();
  }
  if (Request.Parameters.contains("vms"))
    Mode.VmListDown = List == "down";
  if (const auto Lag = Request.numberParameter("vm_list_lag_ms"))
    Mode.VmListLag = std::chrono::milliseconds(*Lag);
  this->Shared.Changed.notify_all();
  return {.Body = "{}"};
}

HttpResponse PlatformControlEndpoint::counters() {
  const std::scoped_lock Lock(this->Shared.Mutex);
  const CallLimiter &Limiter = this->Shared.Limiter;
  Counters Values{Limiter.accepted(),       Limiter.refused(),
                  Limiter.open(),           Limiter.peak(),
                  this->Shared.VmListCalls, this->Shared.Log.latest()};
  return {.Body = toJson(Values)};
}

} // namespace acaciacross::standins
