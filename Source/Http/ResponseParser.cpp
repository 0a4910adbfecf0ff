#include "Http/ResponseParser.h"

#include <utility>

namespace acaciacross::http {

namespace {

// RFC 9110, section 15.
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

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
  this->restart();
  return Result;
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
