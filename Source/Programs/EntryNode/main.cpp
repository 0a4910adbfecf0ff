#include "Common/Log.h"
#include "Configuration/ConfigurationError.h"
#include "Configuration/EntrySettingsParser.h"
#include "Programs/EntryNode/EntryNode.h"
#include "Programs/EntryNode/StopSignal.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <sys/resource.h>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

DEFINE_string(settings, "", "settings file of this entry VM (TOML)");

namespace {

constexpr int SettingsExitStatus = 2;

// Connections of callers and to searchers together can exceed the usual limit
// of 1,024 open files.
constexpr rlim_t OpenFileLimit = 16'384;

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  if (!File)
    throw acaciacross::configuration::ConfigurationError(
        acaciacross::common::ResultCode::SettingInvalid, "command line", 0,
        "--settings", Path, "the path of a readable file");
  return Text;
}

void raiseFileLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 ||
      Limit.rlim_cur >= OpenFileLimit)
    return;
  Limit.rlim_cur = std::min(Limit.rlim_max, OpenFileLimit);
  ::setrlimit(RLIMIT_NOFILE, &Limit);
}

std::optional<acaciacross::configuration::EntrySettings> readSettings() {
  try {
    return acaciacross::configuration::EntrySettingsParser::parse(
        readFile(FLAGS_settings), FLAGS_settings);
  } catch (const acaciacross::configuration::ConfigurationError &Error) {
    acaciacross::common::logWarning(
        acaciacross::common::LogEvent::SettingsRefused, Error.what());
    return std::nullopt;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  google::InitGoogleLogging(Arguments[0]);

  const auto Settings = readSettings();
  if (!Settings)
    return SettingsExitStatus;
  raiseFileLimit();
  acaciacross::entry::StopSignal Signal;
  try {
    acaciacross::entry::EntryNode Node(*Settings);
    Signal.wait();
    Node.stopGracefully();
  } catch (const std::exception &Error) {
    LOG(ERROR) << Error.what();
    return 1;
  }
  return 0;
}
