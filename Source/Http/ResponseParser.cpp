#include "Http/ResponseParser.h"

#include <utility>

namespace acaciacross::http {

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
  this->Message.Status = static_cast<int>(RawParser.status_code);
  this->Message.Headers = std::move(Headers);
  this->Message.KeepAlive = http_should_keep_alive(&RawParser) != 0;
  return this->ExpectsBody;
}

std::string &ResponseParser::body() { return this->Message.Body; }

} // namespace acaciacross::http
