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

/// Writes log lines to a descriptor from a thread of its own. A reader that is
/// slow or gone never delays the threads that log: lines beyond the queue are
/// counted and dropped.
class EventLog {
public:
  EventLog(const common::Clock &TimeSource, int Output);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Names the writer in every line from now on; before other threads log.
  void setSource(const std::string &Vm);
  /// Thread-safe; never blocks on the reader.
  void write(const LogRecord &Record);

  /// Lines dropped so far.
  std::uint64_t dropped() const;
  /// Writes what is queued, for at most a short while, and ends the thread.
  void close();

private:
  void run();
  void writeBatch(const std::string &Batch);
  std::string stamp() const;

  const common::Clock &Time;
  std::string Source;
  int Number;
  std::mutex Mutex;
  std::condition_variable Filled;
  /// Guarded by Mutex.
  std::string Queue;
  bool Closing = false;
  std::atomic<std::uint64_t> Dropped = 0;
  std::uint64_t DroppedTold = 0;
  std::thread Writer;
};

} // namespace acaciacross::logging

#endif
