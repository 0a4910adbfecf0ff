#include "Http/ResponseParser.h"

#include <utility>

namespace acaciacross::http {

namespace {

// RFC 9110, section 15.
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

constexpr std::string_view VersionPart = "HTTP/1.1 ";
constexpr std::size_t StatusDigits = 3;

} // namespace

ResponseParser::ResponseParser(std::size_t MaxHeadBytes,
                               std::size_t MaxBodyBytes)
    : MessageParser(HTTP_RESPONSE, MaxHeadBytes, MaxBodyBytes) {}

void ResponseParser::expect(bool HasBody) { this->ExpectsBody = HasBody; }

bool ResponseParser::isInterim() const {
  return this->Message.Status >= 100 && this->Message.Status < 200;
}

Response ResponseParser::take() {
  Response Result = std::move(this->Message);
  this->Message = Response();
  this->StatusLine.clear();
  this->restart();
  return Result;
}

// http-parser takes any number of digits, so that 0200 would be passed on as
// 200. What precedes the status has the same length in all versions.
void ResponseParser::inspectHead(std::string_view Bytes) {
  constexpr std::size_t StatusEnd = VersionPart.size() + StatusDigits;
  while (!Bytes.empty() && this->StatusLine.size() <= StatusEnd) {
    const char Next = Bytes.front();
    Bytes.remove_prefix(1);
    const bool IsBlankLine =
        this->StatusLine.empty() && (Next == '\r' || Next == '\n');
    if (IsBlankLine)
      continue;
    this->StatusLine.push_back(Next);
    const bool IsDigit = Next >= '0' && Next <= '9';
    const bool ShouldBeDigit = this->StatusLine.size() > VersionPart.size() &&
                               this->StatusLine.size() <= StatusEnd;
    if (ShouldBeDigit != IsDigit &&
        this->StatusLine.size() > VersionPart.size())
      this->reject();
  }
}

bool ResponseParser::finishHead(http_parser &RawParser, HeaderList Headers) {
  // http-parser also accepts status codes with fewer digits.
  const auto Status = static_cast<int>(RawParser.status_code);
  if (Status < MinStatus || Status > MaxStatus)
    this->reject();
  this->Message.Status = Status;
  this->Message.Headers = std::move(Headers);
  this->Message.KeepAlive = http_should_keep_alive(&RawParser) != 0;
  return this->ExpectsBody;
}

std::string &ResponseParser::body() { return this->Message.Body; }

} // namespace acaciacross::http
