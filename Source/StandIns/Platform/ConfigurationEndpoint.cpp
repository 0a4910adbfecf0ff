#include "StandIns/Platform/ConfigurationEndpoint.h"

#include "StandIns/Platform/PlatformCodec.h"

#include <algorithm>

namespace acaciacross::standins {

namespace {

constexpr std::chrono::milliseconds MaxWait{60'000};

} // namespace

ConfigurationEndpoint::ConfigurationEndpoint(PlatformState &State)
    : State(State) {}

HttpResponse ConfigurationEndpoint::handle(const HttpRequest &Request) {
  const std::int64_t Since = Request.integerParameter("since").value_or(0);
  const std::int64_t Wait = Request.integerParameter("wait_ms").value_or(0);
  if (Since < 0 || Wait < 0)
    return {.Status = 400, .Body = "{}"};
  return this->waitForChanges(
      static_cast<std::uint64_t>(Since),
      std::min(std::chrono::milliseconds(Wait), MaxWait));
}

HttpResponse
ConfigurationEndpoint::waitForChanges(std::uint64_t Since,
                                      std::chrono::milliseconds Wait) {
  std::unique_lock Lock(this->State.Mutex);
  if (this->State.Mode.IsConfigurationDown)
    return {.Delivery = HttpResponse::DeliveryMode::CloseWithoutReply};
  const auto Call = this->State.Limiter.begin(std::chrono::steady_clock::now());
  if (!Call)
    return {.Status = 429, .Body = "{}"};
  this->State.Changed.wait_for(Lock, Wait, [this, Since] {
    return this->hasChangesSince(Since) ||
           this->State.Mode.IsConfigurationDown || this->State.IsStopping;
  });
  this->State.Limiter.end(*Call);
  if (this->State.Mode.IsConfigurationDown || this->State.IsStopping)
    return {.Delivery = HttpResponse::DeliveryMode::CloseWithoutReply};
  const ChangesReply Reply = this->State.Log.changesSince(
      Since, this->State.Mode.LatestVisibleRevision);
  Lock.unlock();
  return {.Body = PlatformCodec::encode(Reply)};
}

bool ConfigurationEndpoint::hasChangesSince(std::uint64_t Since) const {
  return std::min(this->State.Log.latestRevision(),
                  this->State.Mode.LatestVisibleRevision) > Since;
}

} // namespace acaciacross::standins
