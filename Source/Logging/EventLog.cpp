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

// Some thousand lines: the burst of one second under full load.
constexpr std::size_t MaxQueuedBytes = std::size_t{1} << 20;
// Gathers lines, since each wake-up and write is processor time.
constexpr std::chrono::milliseconds WritePeriod{200};
// How long the end of the process waits for a slow reader.
constexpr int CloseTimeoutMs = 200;

// Log signals belong to the main thread.
void blockSignals() {
  sigset_t All;
  sigfillset(&All);
  pthread_sigmask(SIG_BLOCK, &All, nullptr);
}

} // namespace

EventLog::EventLog(const common::Clock &TimeSource, int Output)
    : Time(TimeSource), Number(Output), Writer([this] {
        blockSignals();
        this->run();
      }) {}

EventLog::~EventLog() { this->close(); }

void EventLog::setSource(const std::string &Vm) {
  this->Source = "\"vm\":\"" + Vm + "\",";
}

void EventLog::write(const LogRecord &Record) {
  const std::string Stamp = this->stamp();
  bool WasEmpty = false;
  {
    const std::lock_guard Guard(this->Mutex);
    if (this->Closing ||
        this->Queue.size() + Record.members().size() > MaxQueuedBytes) {
      ++this->Dropped;
      return;
    }
    WasEmpty = this->Queue.empty();
    this->Queue.append("{").append(Stamp).append(Record.members());
    this->Queue.append("}\n");
  }
  if (WasEmpty)
    this->Filled.notify_one();
}

std::uint64_t EventLog::dropped() const { return this->Dropped; }

void EventLog::close() {
  if (!this->Writer.joinable())
    return;
  {
    const std::lock_guard Guard(this->Mutex);
    this->Closing = true;
  }
  this->Filled.notify_one();
  this->Writer.join();
}

void EventLog::run() {
  while (true) {
    std::string Batch;
    bool IsLast = false;
    {
      std::unique_lock Guard(this->Mutex);
      this->Filled.wait(
          Guard, [this] { return this->Closing || !this->Queue.empty(); });
      if (!this->Closing)
        this->Filled.wait_for(Guard, WritePeriod,
                              [this] { return this->Closing; });
      Batch.swap(this->Queue);
      IsLast = this->Closing;
    }
    const std::uint64_t Lost = this->Dropped;
    if (Lost != this->DroppedTold) {
      LogRecord Summary(common::LogEvent::LogLinesDropped);
      Summary.number("lines",
                     static_cast<std::int64_t>(Lost - this->DroppedTold));
      Batch.append("{").append(this->stamp()).append(Summary.members());
      Batch.append("}\n");
      this->DroppedTold = Lost;
    }
    this->writeBatch(Batch);
    if (IsLast)
      return;
  }
}

void EventLog::writeBatch(const std::string &Batch) {
  std::size_t Done = 0;
  while (Done < Batch.size()) {
    pollfd Wait{this->Number, POLLOUT, 0};
    const bool IsClosing = [this] {
      const std::lock_guard Guard(this->Mutex);
      return this->Closing;
    }();
    // The wait is bounded so that the end of the process is noticed.
    const int Ready = ::poll(&Wait, 1, CloseTimeoutMs);
    if (Ready == 0 && IsClosing)
      return;
    if (Ready <= 0)
      continue;
    // A pipe that is ready takes this much without blocking, and no more.
    const std::size_t Length =
        std::min<std::size_t>(Batch.size() - Done, PIPE_BUF);
    const ssize_t Written = ::write(this->Number, Batch.data() + Done, Length);
    if (Written < 0 && errno != EAGAIN && errno != EINTR)
      return;
    if (Written > 0)
      Done += static_cast<std::size_t>(Written);
  }
}

std::string EventLog::stamp() const {
  const auto Wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Time.wallNow().time_since_epoch());
  const auto Uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Time.monotonicNow().time_since_epoch());
  return "\"time_ms\":" + std::to_string(Wall.count()) +
         ",\"steady_ms\":" + std::to_string(Uptime.count()) + "," +
         this->Source;
}

} // namespace acaciacross::logging
