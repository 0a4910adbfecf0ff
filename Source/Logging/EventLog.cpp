#include "Logging/EventLog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <csignal>
#include <utility>

namespace acaciacross::logging {

namespace {

// A few thousand lines, which is a burst of one second at full load.
constexpr std::size_t MaxQueuedBytes = std::size_t{1} << 20;
// Lines are written in batches, since each wake-up and each write costs CPU
// time.
constexpr std::chrono::milliseconds WritePeriod{200};
// How long close waits for a reader that does not read.
constexpr int CloseTimeoutMs = 200;

std::size_t indexOf(common::LogEvent Event) {
  const auto Events = common::allLogEvents();
  return static_cast<std::size_t>(std::ranges::lower_bound(Events, Event) -
                                  Events.begin());
}

// Signals are handled by the main thread only.
void blockSignals() {
  sigset_t AllSignals;
  sigfillset(&AllSignals);
  pthread_sigmask(SIG_BLOCK, &AllSignals, nullptr);
}

} // namespace

EventLog::EventLog(const common::Clock &TimeSource, int OutputFd)
    : Time(TimeSource), OutputFd(OutputFd),
      Counts(common::allLogEvents().size()), Writer([this] {
        blockSignals();
        this->run();
      }) {}

EventLog::~EventLog() { this->close(); }

void EventLog::setVm(const std::string &Vm) {
  this->VmMember = "\"vm\":\"" + Vm + "\",";
}

void EventLog::write(const LogRecord &Record) {
  ++this->Counts[indexOf(Record.event())];
  const std::string Prefix = this->commonMembers();
  bool WasEmpty = false;
  {
    const std::lock_guard Guard(this->Mutex);
    if (this->Closing ||
        this->Queue.size() + Record.members().size() > MaxQueuedBytes) {
      ++this->Dropped;
      return;
    }
    WasEmpty = this->Queue.empty();
    this->Queue.append("{").append(Prefix).append(Record.members());
    this->Queue.append("}\n");
  }
  if (WasEmpty)
    this->QueueChanged.notify_one();
}

std::uint64_t EventLog::count(common::LogEvent Event) const {
  return this->Counts[indexOf(Event)];
}

std::uint64_t EventLog::dropped() const { return this->Dropped; }

void EventLog::close() {
  if (!this->Writer.joinable())
    return;
  {
    const std::lock_guard Guard(this->Mutex);
    this->Closing = true;
  }
  this->QueueChanged.notify_one();
  this->Writer.join();
}

void EventLog::run() {
  while (true) {
    std::string Batch;
    bool IsLast = false;
    {
      std::unique_lock Guard(this->Mutex);
      this->QueueChanged.wait(
          Guard, [this] { return this->Closing || !this->Queue.empty(); });
      if (!this->Closing)
        this->QueueChanged.wait_for(Guard, WritePeriod,
                                    [this] { return this->Closing; });
      Batch.swap(this->Queue);
      IsLast = this->Closing;
    }
    const std::uint64_t DroppedNow = this->Dropped;
    if (DroppedNow != this->DroppedReported) {
      LogRecord Summary(common::LogEvent::LogLinesDropped);
      Summary.number("lines", static_cast<std::int64_t>(DroppedNow -
                                                        this->DroppedReported));
      Batch.append("{").append(this->commonMembers()).append(Summary.members());
      Batch.append("}\n");
      this->DroppedReported = DroppedNow;
    }
    this->writeBatch(Batch);
    if (IsLast)
      return;
  }
}

void EventLog::writeBatch(const std::string &Batch) {
  std::size_t WrittenBytes = 0;
  while (WrittenBytes < Batch.size()) {
    pollfd Poll{this->OutputFd, POLLOUT, 0};
    const bool IsClosing = [this] {
      const std::lock_guard Guard(this->Mutex);
      return this->Closing;
    }();
    // The timeout lets this thread notice that the log is being closed.
    const int ReadyCount = ::poll(&Poll, 1, CloseTimeoutMs);
    if (ReadyCount == 0 && IsClosing)
      return;
    if (ReadyCount <= 0)
      continue;
    // A pipe that is ready accepts PIPE_BUF bytes without blocking, but not
    // always more.
    const std::size_t Length =
        std::min<std::size_t>(Batch.size() - WrittenBytes, PIPE_BUF);
    const ssize_t Written =
        ::write(this->OutputFd, Batch.data() + WrittenBytes, Length);
    if (Written < 0 && errno != EAGAIN && errno != EINTR)
      return;
    if (Written > 0)
      WrittenBytes += static_cast<std::size_t>(Written);
  }
}

std::string EventLog::commonMembers() const {
  const auto Wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Time.wallNow().time_since_epoch());
  const auto Uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Time.monotonicNow().time_since_epoch());
  return "\"time_ms\":" + std::to_string(Wall.count()) +
         ",\"steady_ms\":" + std::to_string(Uptime.count()) + "," +
         this->VmMember;
}

} // namespace acaciacross::logging
