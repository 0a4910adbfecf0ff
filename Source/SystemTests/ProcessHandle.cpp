#include "SystemTests/ProcessHandle.h"

#include "SystemTests/Waiting.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>

extern char **environ;

namespace acaciacross::systemtests {

namespace {

constexpr int SignalStatusBase = 128;

int statusOf(int WaitStatus) {
  return WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus)
                               : SignalStatusBase + WTERMSIG(WaitStatus);
}

} // namespace

ProcessHandle::ProcessHandle(const std::string &Program,
                             const std::vector<std::string> &Arguments,
                             const std::string &LogFile) {
  std::vector<std::string> Values = {Program};
  Values.insert(Values.end(), Arguments.begin(), Arguments.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Values.size() + 1);
  for (std::string &Value : Values)
    Pointers.push_back(Value.data());
  Pointers.push_back(nullptr);

  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  const int Error = ::posix_spawn(&this->Id, Program.c_str(), &Actions, nullptr,
                                  Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error("cannot start " + Program);
}

ProcessHandle::~ProcessHandle() { this->kill(); }

pid_t ProcessHandle::id() const { return this->Id; }

void ProcessHandle::signal(int SignalNumber) {
  if (!this->ExitStatus)
    ::kill(this->Id, SignalNumber);
}

void ProcessHandle::kill() {
  if (this->ExitStatus)
    return;
  ::kill(this->Id, SIGKILL);
  int WaitStatus = 0;
  if (::waitpid(this->Id, &WaitStatus, 0) == this->Id)
    this->ExitStatus = statusOf(WaitStatus);
}

std::optional<int>
ProcessHandle::waitForExit(std::chrono::milliseconds Timeout) {
  waitUntil(Timeout, [this] {
    int WaitStatus = 0;
    if (!this->ExitStatus &&
        ::waitpid(this->Id, &WaitStatus, WNOHANG) == this->Id)
      this->ExitStatus = statusOf(WaitStatus);
    return this->ExitStatus.has_value();
  });
  return this->ExitStatus;
}

} // namespace acaciacross::systemtests
