#ifndef ACACIACROSS_LOGGING_LOGRECORD_H
#define ACACIACROSS_LOGGING_LOGRECORD_H

#include "Common/LogEvent.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciacross::logging {

/// One log line: a JSON object with the event and the values that led to it.
class LogRecord {
public:
  explicit LogRecord(common::LogEvent Event);

  // Each of these adds one member.
  LogRecord &text(std::string_view Name, std::string_view Value);
  LogRecord &number(std::string_view Name, std::int64_t Value);
  LogRecord &real(std::string_view Name, double Value);
  LogRecord &flag(std::string_view Name, bool Value);
  /// Adds whole milliseconds. The name should end with "_ms".
  LogRecord &milliseconds(std::string_view Name,
                          std::chrono::nanoseconds Duration);

  common::LogEvent event() const;
  /// The members so far, without the surrounding braces.
  const std::string &members() const;

private:
  /// Appends the name of the next member.
  void name(std::string_view Name);

  common::LogEvent Event;
  std::string Members;
};

} // namespace acaciacross::logging

#endif
