#ifndef ACACIACROSS_PLATFORM_CONFIGURATIONWATCHER_H
#define ACACIACROSS_PLATFORM_CONFIGURATIONWATCHER_H

#include "Common/SeededRandom.h"
#include "Control/ControlThread.h"
#include "Platform/Backoff.h"
#include "Platform/ConfigurationPage.h"
#include "Platform/PollingThread.h"

#include <atomic>

namespace acaciacross::platform {

/// Watches the configuration service by long polling and posts its changes to
/// the control thread. Starts paused.
class ConfigurationWatcher final : private PollStep {
public:
  /// The control thread must outlive the watcher.
  ConfigurationWatcher(common::Address Server, control::ControlThread &Target,
                       common::SeededRandom RandomNumbers);

  void start();
  void stop();

  /// Thread-safe. Cancels the current call; a paused watcher makes no further
  /// calls.
  void pause();
  void resume();
  /// Thread-safe. Requests one call that does not wait for changes; it is made
  /// also when the watcher is paused.
  void readOnce();

private:
  std::chrono::milliseconds
  runStep(HttpFetcher &Fetcher,
          const std::function<bool()> &IsStopping) override;
  /// Makes one call and returns the minimum time until the next one.
  std::chrono::milliseconds call(HttpFetcher &Fetcher, bool IsSingleRead,
                                 const std::function<bool()> &IsStopping);
  void applyPage(ConfigurationPage Page);
  /// Logs the first failure in a row and returns the time until the next call.
  std::chrono::milliseconds recordFailure(const std::string &Reason);

  common::Address Service;
  control::ControlThread &Control;
  common::SeededRandom Random;
  Backoff CallBackoff;
  /// All changes up to this revision have been received.
  common::Revision KnownRevision;
  common::MonotonicTime NextCallTime;
  std::atomic<bool> IsPaused = true;
  std::atomic<bool> IsReadRequested = false;
  // Declared last, so that the thread ends before the other members are
  // destroyed.
  PollingThread Thread;
};

} // namespace acaciacross::platform

#endif
