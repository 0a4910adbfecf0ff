#include "StandIns/Platform/PlatformControlEndpoint.h"

#include "StandIns/Http/JsonText.h"
#include "StandIns/Platform/PlatformCodec.h"

#include <limits>

namespace acaciacross::standins {

namespace {

constexpr std::string_view ConfigurationPathPrefix = "/control/config/";
constexpr std::size_t MaxValueBytes = std::size_t{1} << 20;

struct Counters {
  std::uint64_t ConfigurationCalls;
  std::uint64_t ConfigurationRefused;
  std::uint64_t OpenCalls;
  std::uint64_t PeakPerSecond;
  std::uint64_t VmListCalls;
  std::uint64_t Revision;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("config_calls", this->ConfigurationCalls),
       cereal::make_nvp("config_refused", this->ConfigurationRefused),
       cereal::make_nvp("config_open", this->OpenCalls),
       cereal::make_nvp("config_peak_per_second", this->PeakPerSecond),
       cereal::make_nvp("vms_calls", this->VmListCalls),
       cereal::make_nvp("revision", this->Revision));
  }
};

} // namespace

PlatformControlEndpoint::PlatformControlEndpoint(PlatformState &State)
    : State(State) {}

HttpResponse PlatformControlEndpoint::handle(const HttpRequest &Request) {
  const std::string Route = Request.Method + ' ' + Request.Path;
  if (Request.Method == "PUT" &&
      Request.Path.starts_with(ConfigurationPathPrefix))
    return this->publish(Request.Path.substr(ConfigurationPathPrefix.size()),
                         Request.Body);
  if (Route == "PUT /control/vms")
    return this->replaceVms(Request.Body);
  if (Route == "POST /control/mode")
    return this->setMode(Request);
  if (Route == "GET /control/counters")
    return this->counters();
  return {.Status = 404, .Body = "{}"};
}

HttpResponse PlatformControlEndpoint::publish(const std::string &Key,
                                              const std::string &Text) {
  if (Key.empty() || Text.size() > MaxValueBytes)
    return {.Status = 400, .Body = "{}"};
  const std::scoped_lock Lock(this->State.Mutex);
  const std::uint64_t Revision = this->State.Log.publish(Key, Text);
  this->State.Changed.notify_all();
  return {.Body = PlatformCodec::encodeRevision(Revision)};
}

HttpResponse PlatformControlEndpoint::replaceVms(const std::string &Text) {
  auto List = PlatformCodec::decodeVms(Text);
  if (!List)
    return {.Status = 400, .Body = "{}"};
  const std::scoped_lock Lock(this->State.Mutex);
  this->State.Vms.set(std::chrono::steady_clock::now(), std::move(*List));
  return {.Body = "{}"};
}

HttpResponse PlatformControlEndpoint::setMode(const HttpRequest &Request) {
  const std::string ConfigurationMode = Request.parameter("config", "normal");
  const std::string VmListMode = Request.parameter("vms", "normal");
  const auto Revision = Request.integerParameter("revision");
  const bool IsStale = ConfigurationMode == "stale";
  if ((ConfigurationMode != "normal" && ConfigurationMode != "down" &&
       !IsStale) ||
      (VmListMode != "normal" && VmListMode != "down") ||
      IsStale != Revision.has_value())
    return {.Status = 400, .Body = "{}"};

  const std::scoped_lock Lock(this->State.Mutex);
  PlatformMode &Mode = this->State.Mode;
  if (Request.Parameters.contains("config")) {
    Mode.IsConfigurationDown = ConfigurationMode == "down";
    Mode.LatestVisibleRevision =
        IsStale ? static_cast<std::uint64_t>(*Revision)
                : std::numeric_limits<std::uint64_t>::max();
  }
  if (Request.Parameters.contains("vms"))
    Mode.IsVmListDown = VmListMode == "down";
  if (const auto Lag = Request.integerParameter("vm_list_lag_ms"))
    Mode.VmListLag = std::chrono::milliseconds(*Lag);
  this->State.Changed.notify_all();
  return {.Body = "{}"};
}

HttpResponse PlatformControlEndpoint::counters() {
  const std::scoped_lock Lock(this->State.Mutex);
  const CallLimiter &Limiter = this->State.Limiter;
  Counters Values{Limiter.accepted(),      Limiter.refused(),
                  Limiter.open(),          Limiter.peak(),
                  this->State.VmListCalls, this->State.Log.latestRevision()};
  return {.Body = toJson(Values)};
}

} // namespace acaciacross::standins
