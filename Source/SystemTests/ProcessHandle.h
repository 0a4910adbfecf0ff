#ifndef ACACIACROSS_SYSTEMTESTS_PROCESSHANDLE_H
#define ACACIACROSS_SYSTEMTESTS_PROCESSHANDLE_H

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// A child process. The destructor kills and reaps it.
class ProcessHandle {
public:
  /// Starts the process and appends its output to the log file.
  /// \throws std::runtime_error when the process cannot be started.
  ProcessHandle(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogFile);
  ~ProcessHandle();

  ProcessHandle(const ProcessHandle &) = delete;
  ProcessHandle &operator=(const ProcessHandle &) = delete;

  pid_t id() const;

  void signal(int SignalNumber);

  /// Sends SIGKILL and waits until the process has been reaped.
  void kill();

  /// Returns the exit status, or 128 + signal number for a process killed by a
  /// signal. Returns nothing if the process still runs after the timeout.
  std::optional<int> waitForExit(std::chrono::milliseconds Timeout);

private:
  pid_t Id = -1;
  std::optional<int> ExitStatus;
};

} // namespace acaciacross::systemtests

#endif
