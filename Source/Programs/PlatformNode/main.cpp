#include "Common/Error.h"
#include "Common/SystemClock.h"
#include "Logging/EventLog.h"
#include "Node/NodeController.h"
#include "Node/TrafficThread.h"
#include "Programs/PlatformNode/SettingsFile.h"
#include "Programs/PlatformNode/Signals.h"
#include "platform/Encodings.h"
#include "platform/SettingsDecoder.h"
#include "platform/StorePoller.h"
#include "platform/WireNames.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

DEFINE_string(settings, "",
              "settings file; by default the one that the platform names");
DEFINE_int32(metrics_port, 9464, "port of the metrics page");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace acaciacross;

constexpr int SettingsExitStatus = 2;
// How often the settings file is checked for changes that come without a
// signal.
constexpr std::chrono::milliseconds SettingsCheckPeriod{1'000};

std::string settingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Path = std::getenv(adapter::wire::SettingsPathVariable);
  return Path == nullptr ? "" : Path;
}

node::NodeSettings readSettings(nodeprogram::SettingsFile &File) {
  return adapter::SettingsDecoder::decode(
      File.read(), static_cast<std::uint16_t>(FLAGS_metrics_port));
}

/// Reads the settings again. Seeds are the only setting that can change while
/// the process runs.
void reload(nodeprogram::SettingsFile &File, node::NodeController &Control,
            logging::EventLog &Log) {
  try {
    Control.addSeeds(readSettings(File).SeedAddresses);
  } catch (const common::Error &Error) {
    Log.write(logging::LogRecord(common::LogEvent::SettingsRefused)
                  .text("reason", Error.what()));
  }
}

void serve(nodeprogram::Signals &Signals, nodeprogram::SettingsFile &File,
           const node::NodeSettings &Settings, logging::EventLog &Log) {
  const common::SystemClock Time;
  const adapter::Encodings Encodings;
  std::atomic<bool> IsStopped = false;
  node::TrafficThread Traffic(Settings, Encodings, Time, Log);
  node::NodeController Control(Settings, Encodings, Time, Log, Traffic, [&] {
    IsStopped = true;
    Signals.wake();
  });
  adapter::StorePoller Store(Settings.StoreAddress, Control, Time);
  Traffic.start();
  Control.start(Store);
  Store.start();
  Log.write(logging::LogRecord(common::LogEvent::ProcessStarted)
                .text("zone", Settings.FailureDomain)
                .text("callers", Settings.CallerAddress.toString())
                .number("seeds", static_cast<std::int64_t>(
                                     Settings.SeedAddresses.size())));
  while (!IsStopped) {
    const int Number = Signals.wait(SettingsCheckPeriod);
    if (Number == SIGTERM || Number == SIGINT)
      Control.beginStop();
    else if (Number == SIGHUP || File.hasChanged())
      reload(File, Control, Log);
  }
  Store.stop();
  Control.stop();
  Traffic.stop();
  Log.write(logging::LogRecord(common::LogEvent::ProcessStopped));
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  const common::SystemClock Time;
  nodeprogram::Signals Signals;
  nodeprogram::SettingsFile File(settingsPath());
  logging::EventLog Log(Time, STDOUT_FILENO);
  node::NodeSettings Settings;
  try {
    Settings = readSettings(File);
  } catch (const common::Error &Error) {
    Log.write(logging::LogRecord(common::LogEvent::SettingsRefused)
                  .text("reason", Error.what()));
    return SettingsExitStatus;
  }
  Log.setVm(Settings.Vm.Value);
  for (const std::string &Problem : Settings.Problems)
    Log.write(logging::LogRecord(common::LogEvent::SettingsRefused)
                  .text("reason", Problem)
                  .flag("left_out", true));
  if (FLAGS_check) {
    std::cout << "settings of " << Settings.Vm.Value << " are valid\n";
    return 0;
  }
  try {
    serve(Signals, File, Settings, Log);
  } catch (const std::exception &Error) {
    Log.write(logging::LogRecord(common::LogEvent::ProcessStopped)
                  .text("reason", Error.what()));
    return 1;
  }
  return 0;
}
