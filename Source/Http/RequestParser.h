#ifndef ACACIACROSS_HTTP_REQUESTPARSER_H
#define ACACIACROSS_HTTP_REQUESTPARSER_H

#include "Http/MessageParser.h"
#include "Http/Request.h"

#include <string>
#include <string_view>

namespace acaciacross::http {

/// Parses the requests of a caller's connection.
class RequestParser final : public MessageParser {
public:
  /// Limits in bytes; larger messages are a problem.
  RequestParser(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);

  /// Limits in bytes from now on; between two requests.
  void limit(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);
  /// The complete request; the parser is then ready for the next one.
  Request take();

  /// Whether the caller waits for leave to send the body.
  bool expectsContinue() const;

private:
  void takeTarget(std::string_view Part) override;
  bool takeHead(http_parser &Source, HeaderList Headers) override;
  std::string &body() override;

  Request Message;
};

} // namespace acaciacross::http

#endif
