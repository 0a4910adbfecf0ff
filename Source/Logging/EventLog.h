#ifndef ACACIACROSS_LOGGING_EVENTLOG_H
#define ACACIACROSS_LOGGING_EVENTLOG_H

#include "Common/Clock.h"
#include "Logging/LogRecord.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace acaciacross::logging {

/// Writes log lines to a file descriptor from a background thread. A slow or
/// stopped reader never delays the threads that log: lines that do not fit into
/// the queue are dropped and counted.
class EventLog {
public:
  /// The descriptor stays open when this object is destroyed.
  EventLog(const common::Clock &TimeSource, int OutputFd);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Adds the id of this VM to every following line. Must be called before
  /// other threads log.
  void setVm(const std::string &Vm);
  /// Thread-safe. Never waits for the reader.
  void write(const LogRecord &Record);

  /// Number of events of this kind so far, dropped lines included.
  std::uint64_t count(common::LogEvent Event) const;
  /// Number of lines dropped so far.
  std::uint64_t dropped() const;
  /// Writes the queued lines, unless the reader is too slow, and ends the
  /// thread.
  void close();

private:
  void run();
  void writeBatch(const std::string &Batch);
  /// The members that start every line: times and, once set, the VM.
  std::string commonMembers() const;

  const common::Clock &Time;
  std::string VmMember;
  int OutputFd;
  std::mutex Mutex;
  std::condition_variable QueueChanged;
  /// Guarded by Mutex.
  std::string Queue;
  bool Closing = false;
  std::atomic<std::uint64_t> Dropped = 0;
  /// In the order of common::allLogEvents.
  std::vector<std::atomic<std::uint64_t>> Counts;
  std::uint64_t DroppedReported = 0;
  std::thread Writer;
};

} // namespace acaciacross::logging

#endif
