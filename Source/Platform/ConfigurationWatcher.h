#ifndef ACACIACROSS_PLATFORM_CONFIGURATIONWATCHER_H
#define ACACIACROSS_PLATFORM_CONFIGURATIONWATCHER_H

#include "Common/SeededRandom.h"
#include "Control/ControlThread.h"
#include "Platform/Backoff.h"
#include "Platform/ConfigurationPage.h"
#include "Platform/PollingThread.h"

#include <atomic>

namespace acaciacross::platform {

/// Watches the configuration service by long polls and posts what it says to
/// the control thread. Starts paused.
class ConfigurationWatcher final : private PollStep {
public:
  /// The control thread must outlive the watcher.
  ConfigurationWatcher(common::Address Server, control::ControlThread &Target,
                       common::SeededRandom RandomNumbers);

  void start();
  void stop();

  /// Thread-safe. A paused watcher makes no calls; the one under way is given
  /// up.
  void pause();
  void resume();
  /// Thread-safe. Makes one call that does not wait for changes, also when
  /// paused.
  void readOnce();

private:
  std::chrono::milliseconds
  runStep(HttpFetcher &Fetcher,
          const std::function<bool()> &IsStopping) override;
  /// Makes one call and returns the least time to the next.
  std::chrono::milliseconds call(HttpFetcher &Fetcher, bool IsSingleRead,
                                 const std::function<bool()> &IsStopping);
  void accept(ConfigurationPage Page);
  std::chrono::milliseconds refuse(const std::string &Reason);

  common::Address Service;
  control::ControlThread &Control;
  common::SeededRandom Random;
  Backoff Waiting;
  /// The service said all up to here.
  common::Revision Since;
  common::MonotonicTime NotBefore;
  std::atomic<bool> Paused = true;
  std::atomic<bool> ReadWanted = false;
  // Last, so that its thread ends before the other members go.
  PollingThread Thread;
};

} // namespace acaciacross::platform

#endif
