#include "Platform/ConfigurationWatcher.h"

#include "Common/Log.h"
#include "Platform/ConfigurationPageDecoder.h"
#include "Platform/PlatformError.h"

#include <algorithm>
#include <utility>

namespace acaciacross::platform {

namespace {

// Peers read the service themselves when the newest answer that they hear of is
// older than 4 s, so a watch must end sooner even without changes. With this
// limit 26 readers make 13 calls per second.
constexpr std::chrono::milliseconds MaxWatchWait{2'000};
// Time for the reply beyond the wait; the service answers within milliseconds.
constexpr std::chrono::milliseconds ReplyTimeout{2'000};
// Limits one reader to 4 calls per second, also when changes follow each other
// closely or the service answers without waiting.
constexpr std::chrono::milliseconds MinCallInterval{250};
constexpr std::chrono::milliseconds InitialBackoff{500};
// Changes must be in effect everywhere within 11 s. A call without a reply and
// the wait after it together take 7 s.
constexpr std::chrono::milliseconds MaxBackoff{3'000};
// A paused watcher waits until it is woken.
constexpr std::chrono::hours PausedSleep{1};

} // namespace

ConfigurationWatcher::ConfigurationWatcher(common::Address Server,
                                           control::ControlThread &Target,
                                           common::SeededRandom RandomNumbers)
    : Service(std::move(Server)), Control(Target),
      Random(std::move(RandomNumbers)), CallBackoff(InitialBackoff, MaxBackoff),
      Thread(*this) {}

void ConfigurationWatcher::start() { this->Thread.start(); }

void ConfigurationWatcher::stop() { this->Thread.stop(); }

void ConfigurationWatcher::pause() {
  this->IsPaused = true;
  this->Thread.wake();
}

void ConfigurationWatcher::resume() {
  this->IsPaused = false;
  this->Thread.wake();
}

void ConfigurationWatcher::readOnce() {
  this->IsReadRequested = true;
  this->Thread.wake();
}

std::chrono::milliseconds
ConfigurationWatcher::runStep(HttpFetcher &Fetcher,
                              const std::function<bool()> &IsStopping) {
  // A wake-up during the backoff must not make the next call earlier.
  const auto Now = std::chrono::steady_clock::now();
  if (Now < this->NextCallTime)
    return std::chrono::ceil<std::chrono::milliseconds>(this->NextCallTime -
                                                        Now);
  const bool IsSingleRead = this->IsReadRequested.exchange(false);
  if (this->IsPaused && !IsSingleRead)
    return PausedSleep;
  const auto MinWait = this->call(Fetcher, IsSingleRead, IsStopping);
  // The caller of readOnce spaces its reads, so the backoff does not apply.
  const auto Wait = IsSingleRead ? MinCallInterval : MinWait;
  this->NextCallTime = std::chrono::steady_clock::now() + Wait;
  return Wait;
}

std::chrono::milliseconds
ConfigurationWatcher::call(HttpFetcher &Fetcher, bool IsSingleRead,
                           const std::function<bool()> &IsStopping) {
  const auto WatchWait =
      IsSingleRead ? std::chrono::milliseconds(0) : MaxWatchWait;
  const std::string Path =
      "/v1/config?since=" + std::to_string(this->KnownRevision.Value) +
      "&wait_ms=" + std::to_string(WatchWait.count());
  const HttpReply Reply =
      Fetcher.get(this->Service, Path, WatchWait + ReplyTimeout, [&] {
        return IsStopping() || (this->IsPaused && !IsSingleRead);
      });
  if (Reply.IsCancelled)
    return MinCallInterval;
  if (Reply.Status != 200)
    return this->recordFailure(Reply.Status == 0
                                   ? Reply.Error
                                   : "status " + std::to_string(Reply.Status));
  try {
    this->applyPage(ConfigurationPageDecoder::decode(Reply.Body));
  } catch (const PlatformError &Error) {
    return this->recordFailure(Error.what());
  }
  return MinCallInterval;
}

void ConfigurationWatcher::applyPage(ConfigurationPage Page) {
  this->CallBackoff.reset();
  this->KnownRevision = std::max(this->KnownRevision, Page.Revision);
  this->Control.post([Page = std::move(Page)](control::ControlState &State) {
    State.recordServiceRevision(Page.Revision);
    for (const configuration::ConfigurationChange &Change : Page.Changes)
      State.applyConfiguration(Change, "service");
  });
}

std::chrono::milliseconds
ConfigurationWatcher::recordFailure(const std::string &Reason) {
  if (this->CallBackoff.isReset()) {
    common::logWarning(common::LogEvent::ConfigurationServiceUnavailable,
                       "reason=\"" + Reason + "\"");
    this->Control.post([Reason](control::ControlState &State) {
      State.recordAudit("service", "configuration", "unavailable: " + Reason);
    });
  }
  return this->CallBackoff.next(this->Random);
}

} // namespace acaciacross::platform
