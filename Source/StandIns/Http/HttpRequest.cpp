#include "StandIns/Http/HttpRequest.h"

#include <charconv>

namespace acaciacross::standins {

std::string HttpRequest::parameter(const std::string &Name,
                                   const std::string &Default) const {
  const auto Found = this->Parameters.find(Name);
  return Found == this->Parameters.end() ? Default : Found->second;
}

std::string HttpRequest::header(const std::string &LowerCaseName) const {
  const auto Found = this->Headers.find(LowerCaseName);
  return Found == this->Headers.end() ? std::string() : Found->second;
}

std::optional<std::int64_t>
HttpRequest::integerParameter(const std::string &Name) const {
  const std::string Text = this->parameter(Name);
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace acaciacross::standins
