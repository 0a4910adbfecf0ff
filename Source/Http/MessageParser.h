#ifndef ACACIACROSS_HTTP_MESSAGEPARSER_H
#define ACACIACROSS_HTTP_MESSAGEPARSER_H

#include "Http/HeaderList.h"
#include "Http/ParseProblem.h"

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace acaciacross::http {

/// Parses one message at a time from the bytes of a connection.
class MessageParser {
public:
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// Takes bytes up to the end of the message at most; gives how many.
  std::size_t feed(std::string_view Bytes);
  /// The connection has ended; completes a message that lasts until then.
  void end();

  bool hasStarted() const;
  bool isHeadComplete() const;
  bool isComplete() const;
  ParseProblem problem() const;

protected:
  MessageParser(http_parser_type Type, std::size_t HeadLimit,
                std::size_t BodyLimit);
  virtual ~MessageParser() = default;

  /// Ready for the next message.
  void restart();
  void setLimits(std::size_t HeadLimit, std::size_t BodyLimit);

  /// The request target is complete or goes on.
  virtual void takeTarget(std::string_view Part);
  /// The head is complete. Gives whether a body may follow.
  virtual bool takeHead(http_parser &Source, HeaderList Headers) = 0;
  virtual std::string &body() = 0;

private:
  static MessageParser &of(http_parser *Source);
  static const http_parser_settings &settings();
  static int onUrl(http_parser *Source, const char *At, std::size_t Length);
  static int onField(http_parser *Source, const char *At, std::size_t Length);
  static int onValue(http_parser *Source, const char *At, std::size_t Length);
  static int onHeadersComplete(http_parser *Source);
  static int onBody(http_parser *Source, const char *At, std::size_t Length);
  static int onMessageComplete(http_parser *Source);

  /// Gives 0, or -1 when the head is larger than allowed.
  int countHead(std::size_t Length);
  void finishField();

  http_parser Parser{};
  http_parser_type Kind;
  std::size_t MaxHeadBytes;
  std::size_t MaxBodyBytes;
  std::size_t HeadBytes = 0;
  std::size_t PartBytes = 0;
  HeaderList Fields;
  std::string FieldName;
  std::string FieldValue;
  bool InValue = false;
  bool HeadDone = false;
  bool Done = false;
  ParseProblem Fault = ParseProblem::None;
};

} // namespace acaciacross::http

#endif
