#ifndef ACACIACROSS_HTTP_REQUESTPARSER_H
#define ACACIACROSS_HTTP_REQUESTPARSER_H

#include "Http/MessageParser.h"
#include "Http/Request.h"

#include <string>
#include <string_view>

namespace acaciacross::http {

/// Parses the requests that arrive on a connection of a caller.
class RequestParser final : public MessageParser {
public:
  /// Limits in bytes; a larger message has a problem and is not completed.
  RequestParser(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);

  /// Changes the limits in bytes. Only allowed between two requests.
  void limit(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);
  /// Drops what has arrived of the current request and resets the parser.
  void drop();
  /// The head of the current request. Only allowed when it is complete.
  const Request &head() const;
  /// Leaves the body of the current request empty.
  void dropBody();
  /// Returns the complete request and resets the parser for the next one.
  Request take();

  /// Whether the caller waits for a 100 (Continue) response before it sends the
  /// body.
  bool expectsContinue() const;

private:
  void appendTarget(std::string_view Part) override;
  bool finishHead(http_parser &RawParser, HeaderList Headers) override;
  std::string &body() override;

  Request Message;
};

} // namespace acaciacross::http

#endif
