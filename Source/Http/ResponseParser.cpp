#include "Http/ResponseParser.h"

#include <utility>

namespace acaciacross::http {

ResponseParser::ResponseParser(std::size_t MaxHeadBytes,
                               std::size_t MaxBodyBytes)
    : MessageParser(HTTP_RESPONSE, MaxHeadBytes, MaxBodyBytes) {}

void ResponseParser::expect(bool HasBody) { this->BodyFollows = HasBody; }

bool ResponseParser::isInterim() const {
  return this->Message.Status >= 100 && this->Message.Status < 200;
}

Response ResponseParser::take() {
  Response Taken = std::move(this->Message);
  this->Message = Response();
  this->restart();
  return Taken;
}

bool ResponseParser::takeHead(http_parser &Source, HeaderList Headers) {
  this->Message.Status = static_cast<int>(Source.status_code);
  this->Message.Headers = std::move(Headers);
  this->Message.KeepAlive = http_should_keep_alive(&Source) != 0;
  return this->BodyFollows;
}

std::string &ResponseParser::body() { return this->Message.Body; }

} // namespace acaciacross::http
