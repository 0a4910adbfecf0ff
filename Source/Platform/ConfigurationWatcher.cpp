#include "Platform/ConfigurationWatcher.h"

#include "Common/Log.h"
#include "Platform/ConfigurationPageDecoder.h"
#include "Platform/PlatformError.h"

#include <algorithm>
#include <utility>

namespace acaciacross::platform {

namespace {

// Peers read the service themselves when they hear of no answer younger than
// 4 s, so a watch has to end sooner, also without changes. 26 readers then make
// 13 calls a second.
constexpr std::chrono::milliseconds WatchTime{2'000};
// The service answers in milliseconds.
constexpr std::chrono::milliseconds ReplyTime{2'000};
// Bounds the calls of one reader to 4 a second, also when changes follow each
// other closely or the service does not wait.
constexpr std::chrono::milliseconds CallSpacing{250};
constexpr std::chrono::milliseconds FirstBackoff{500};
// Changes are to be in effect everywhere within 11 s. A call that gets no reply
// and the wait after it take 7 s.
constexpr std::chrono::milliseconds LongestBackoff{3'000};
// A paused watcher sleeps until it is woken.
constexpr std::chrono::hours PausedSleep{1};

} // namespace

ConfigurationWatcher::ConfigurationWatcher(common::Address Server,
                                           control::ControlThread &Target,
                                           common::SeededRandom RandomNumbers)
    : Service(std::move(Server)), Control(Target),
      Random(std::move(RandomNumbers)), Waiting(FirstBackoff, LongestBackoff),
      Thread(*this) {}

void ConfigurationWatcher::start() { this->Thread.start(); }

void ConfigurationWatcher::stop() { this->Thread.stop(); }

void ConfigurationWatcher::pause() {
  this->Paused = true;
  this->Thread.wake();
}

void ConfigurationWatcher::resume() {
  this->Paused = false;
  this->Thread.wake();
}

void ConfigurationWatcher::readOnce() {
  this->ReadWanted = true;
  this->Thread.wake();
}

std::chrono::milliseconds
ConfigurationWatcher::runStep(HttpFetcher &Fetcher,
                              const std::function<bool()> &IsStopping) {
  // A wake during a back-off must not bring the next call forward.
  const auto Now = std::chrono::steady_clock::now();
  if (Now < this->NotBefore)
    return std::chrono::ceil<std::chrono::milliseconds>(this->NotBefore - Now);
  const bool IsSingleRead = this->ReadWanted.exchange(false);
  if (this->Paused && !IsSingleRead)
    return PausedSleep;
  const auto LeastWait = this->call(Fetcher, IsSingleRead, IsStopping);
  // Single reads are spaced by whoever asks for them.
  const auto Wait = IsSingleRead ? CallSpacing : LeastWait;
  this->NotBefore = std::chrono::steady_clock::now() + Wait;
  return Wait;
}

std::chrono::milliseconds
ConfigurationWatcher::call(HttpFetcher &Fetcher, bool IsSingleRead,
                           const std::function<bool()> &IsStopping) {
  const auto Watch = IsSingleRead ? std::chrono::milliseconds(0) : WatchTime;
  const std::string Path =
      "/v1/config?since=" + std::to_string(this->Since.Value) +
      "&wait_ms=" + std::to_string(Watch.count());
  const HttpReply Reply =
      Fetcher.get(this->Service, Path, Watch + ReplyTime, [&] {
        return IsStopping() || (this->Paused && !IsSingleRead);
      });
  if (Reply.Cancelled)
    return CallSpacing;
  if (Reply.Status != 200)
    return this->refuse(Reply.Status == 0
                            ? Reply.Error
                            : "status " + std::to_string(Reply.Status));
  try {
    this->accept(ConfigurationPageDecoder::decode(Reply.Body));
  } catch (const PlatformError &Error) {
    return this->refuse(Error.what());
  }
  return CallSpacing;
}

void ConfigurationWatcher::accept(ConfigurationPage Page) {
  this->Waiting.reset();
  this->Since = std::max(this->Since, Page.At);
  this->Control.post([Page = std::move(Page)](control::ControlState &State) {
    State.noteServiceRevision(Page.At);
    for (const configuration::ConfigurationChange &Change : Page.Changes)
      State.applyConfiguration(Change, "service");
  });
}

std::chrono::milliseconds
ConfigurationWatcher::refuse(const std::string &Reason) {
  if (this->Waiting.isFirst()) {
    common::logWarning(common::LogEvent::ConfigurationServiceUnavailable,
                       "reason=\"" + Reason + "\"");
    this->Control.post([Reason](control::ControlState &State) {
      State.note("service", "configuration", "unavailable: " + Reason);
    });
  }
  return this->Waiting.next(this->Random);
}

} // namespace acaciacross::platform
