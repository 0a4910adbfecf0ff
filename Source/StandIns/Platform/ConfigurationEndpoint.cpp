#include "StandIns/Platform/ConfigurationEndpoint.h"

#include "StandIns/Platform/PlatformCodec.h"

#include <algorithm>

namespace acaciacross::standins {

namespace {

constexpr std::chrono::milliseconds MaxWait{60'000};

} // namespace

ConfigurationEndpoint::ConfigurationEndpoint(PlatformState &Shared)
    : Shared(Shared) {}

HttpResponse ConfigurationEndpoint::handle(const HttpRequest &Request) {
  const std::int64_t Since = Request.numberParameter("since").value_or(0);
  const std::int64_t Wait = Request.numberParameter("wait_ms").value_or(0);
  if (Since < 0 || Wait < 0)
    return {.Status = 400, .Body = "{}"};
  return this->answer(static_cast<std::uint64_t>(Since),
                      std::min(std::chrono::milliseconds(Wait), MaxWait));
}

HttpResponse ConfigurationEndpoint::answer(std::uint64_t Since,
                                           std::chrono::milliseconds Wait) {
  std::unique_lock Lock(this->Shared.Mutex);
  if (this->Shared.Mode.ConfigurationDown)
    return {.End = HttpResponse::Ending::CloseWithoutReply};
  const auto Call =
      this->Shared.Limiter.begin(std::chrono::steady_clock::now());
  if (!Call)
    return {.Status = 429, .Body = "{}"};
  this->Shared.Changed.wait_for(Lock, Wait, [this, Since] {
    return this->isNewer(Since) || this->Shared.Mode.ConfigurationDown ||
           this->Shared.Stopping;
  });
  this->Shared.Limiter.end(*Call);
  if (this->Shared.Mode.ConfigurationDown || this->Shared.Stopping)
    return {.End = HttpResponse::Ending::CloseWithoutReply};
  const ChangesReply Reply =
      this->Shared.Log.changesSince(Since, this->Shared.Mode.LatestShown);
  Lock.unlock();
  return {.Body = PlatformCodec::encode(Reply)};
}

bool ConfigurationEndpoint::isNewer(std::uint64_t Since) const {
  return std::min(this->Shared.Log.latest(), this->Shared.Mode.LatestShown) >
         Since;
}

} // namespace acaciacross::standins
