#ifndef ACACIACROSS_HTTP_RESPONSEPARSER_H
#define ACACIACROSS_HTTP_RESPONSEPARSER_H

#include "Http/MessageParser.h"
#include "Http/Response.h"

#include <string>

namespace acaciacross::http {

/// Parses the responses of an upstream's connection; interim ones (1xx) are
/// passed over.
class ResponseParser final : public MessageParser {
public:
  /// Limits in bytes; larger messages are a problem.
  ResponseParser(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);

  /// The next response belongs to a request without (HEAD) or with a body in
  /// the answer.
  void expect(bool HasBody);

  /// Whether the head is of an interim response; the next one is still due.
  bool isInterim() const;
  /// The complete response; the parser is then ready for the next one.
  Response take();

private:
  bool takeHead(http_parser &Source, HeaderList Headers) override;
  std::string &body() override;

  Response Message;
  bool BodyFollows = true;
};

} // namespace acaciacross::http

#endif
