#ifndef ACACIACROSS_HTTP_RESPONSEPARSER_H
#define ACACIACROSS_HTTP_RESPONSEPARSER_H

#include "Http/MessageParser.h"
#include "Http/Response.h"

#include <string>
#include <string_view>

namespace acaciacross::http {

/// Parses the responses that arrive on a connection to an upstream. The user
/// takes interim responses (1xx) and ignores them.
class ResponseParser final : public MessageParser {
public:
  /// Limits in bytes; a larger message has a problem and is not completed.
  ResponseParser(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);

  /// Sets whether the next response may have a body; it has none when it
  /// answers a HEAD request.
  void expect(bool HasBody);

  /// Whether the current response is an interim one, which the final one
  /// follows.
  bool isInterim() const;
  /// Returns the complete response and resets the parser for the next one.
  Response take();

private:
  void inspectHead(std::string_view Bytes) override;
  bool finishHead(http_parser &RawParser, HeaderList Headers) override;
  std::string &body() override;

  Response Message;
  bool ExpectsBody = true;
  /// The first bytes of the status line.
  std::string StatusLine;
};

} // namespace acaciacross::http

#endif
