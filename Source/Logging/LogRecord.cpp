#include "Logging/LogRecord.h"

#include <array>
#include <cstdio>

namespace acaciacross::logging {

namespace {

// Values may come from callers. Longer ones are truncated, since the rest would
// add no information.
constexpr std::size_t MaxTextBytes = 200;

void appendEscaped(std::string &Output, std::string_view Text) {
  for (const char Character : Text.substr(0, MaxTextBytes)) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Output += '\\';
      Output += Character;
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      std::array<char, 8> Escape{};
      std::snprintf(Escape.data(), Escape.size(), "\\u%04x", Byte);
      Output += Escape.data();
    } else {
      Output += Character;
    }
  }
}

} // namespace

LogRecord::LogRecord(common::LogEvent Event) : Event(Event) {
  this->Members.reserve(256);
  this->Members.append("\"event\":")
      .append(std::to_string(static_cast<int>(Event)));
  this->text("name", common::logEventName(Event));
}

common::LogEvent LogRecord::event() const { return this->Event; }

LogRecord &LogRecord::text(std::string_view Name, std::string_view Value) {
  this->name(Name);
  this->Members += '"';
  appendEscaped(this->Members, Value);
  this->Members += '"';
  return *this;
}

LogRecord &LogRecord::number(std::string_view Name, std::int64_t Value) {
  this->name(Name);
  this->Members += std::to_string(Value);
  return *this;
}

LogRecord &LogRecord::real(std::string_view Name, double Value) {
  this->name(Name);
  std::array<char, 32> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%.4g", Value);
  this->Members += Digits.data();
  return *this;
}

LogRecord &LogRecord::flag(std::string_view Name, bool Value) {
  this->name(Name);
  this->Members += Value ? "true" : "false";
  return *this;
}

LogRecord &LogRecord::milliseconds(std::string_view Name,
                                   std::chrono::nanoseconds Duration) {
  return this->number(
      Name,
      std::chrono::duration_cast<std::chrono::milliseconds>(Duration).count());
}

const std::string &LogRecord::members() const { return this->Members; }

void LogRecord::name(std::string_view Name) {
  this->Members.append(",\"").append(Name).append("\":");
}

} // namespace acaciacross::logging
