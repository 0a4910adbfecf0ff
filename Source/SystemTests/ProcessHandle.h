#ifndef ACACIACROSS_SYSTEMTESTS_PROCESSHANDLE_H
#define ACACIACROSS_SYSTEMTESTS_PROCESSHANDLE_H

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// A process that the test program started; killed and reaped with the handle.
class ProcessHandle {
public:
  /// Output of the process is appended to the log file.
  /// \throws std::runtime_error when the process cannot be started.
  ProcessHandle(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogFile);
  ~ProcessHandle();

  ProcessHandle(const ProcessHandle &) = delete;
  ProcessHandle &operator=(const ProcessHandle &) = delete;

  void signal(int Number);

  /// SIGKILL; returns when the process is gone.
  void kill();

  /// Exit status, 128 + signal for a process ended by one; empty when it still
  /// runs after the time.
  std::optional<int> waitForExit(std::chrono::milliseconds Longest);

private:
  pid_t Id = -1;
  std::optional<int> ExitStatus;
};

} // namespace acaciacross::systemtests

#endif
