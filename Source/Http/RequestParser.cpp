#include "Http/RequestParser.h"

#include <utility>

namespace acaciacross::http {

RequestParser::RequestParser(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes)
    : MessageParser(HTTP_REQUEST, MaxHeadBytes, MaxBodyBytes) {}

void RequestParser::limit(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes) {
  this->setLimits(MaxHeadBytes, MaxBodyBytes);
}

void RequestParser::drop() { this->take(); }

const Request &RequestParser::head() const { return this->Message; }

void RequestParser::dropBody() {
  this->Message.IsBodyDropped = true;
  this->discardBody();
}

Request RequestParser::take() {
  Request Result = std::move(this->Message);
  this->Message = Request();
  this->restart();
  return Result;
}

bool RequestParser::expectsContinue() const {
  return this->isHeadComplete() && !this->isComplete() &&
         this->Message.Headers.find("Expect") != nullptr;
}

void RequestParser::appendTarget(std::string_view Part) {
  this->Message.Target.append(Part);
}

bool RequestParser::finishHead(http_parser &RawParser, HeaderList Headers) {
  this->Message.Method =
      http_method_str(static_cast<http_method>(RawParser.method));
  this->Message.Headers = std::move(Headers);
  this->Message.KeepAlive = http_should_keep_alive(&RawParser) != 0;
  return true;
}

std::string &RequestParser::body() { return this->Message.Body; }

} // namespace acaciacross::http
