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

  /// Parses bytes up to the end of the current message at most. Returns how
  /// many bytes were consumed.
  std::size_t feed(std::string_view Bytes);
  /// Reports the end of the connection, which completes a message without a
  /// length and makes any other incomplete message malformed.
  void end();

  bool hasStarted() const;
  bool isHeadComplete() const;
  bool isComplete() const;
  /// Memory that the current message holds, with that of its fields.
  std::size_t heldBytes();
  /// Why the message cannot be used; None while it can.
  ParseProblem problem() const;

protected:
  MessageParser(http_parser_type Type, std::size_t MaxHeadBytes,
                std::size_t MaxBodyBytes);
  virtual ~MessageParser() = default;

  /// Resets the parser for the next message.
  void restart();
  /// Limits in bytes.
  void setLimits(std::size_t MaxHeadBytes, std::size_t MaxBodyBytes);
  /// Leaves the body of the current message empty. It still counts against its
  /// limit.
  void discardBody();

  /// Called with bytes of the head before they are parsed.
  virtual void inspectHead(std::string_view Bytes);
  /// Appends a part of the request target; called for each part that is read.
  virtual void appendTarget(std::string_view Part);
  /// Makes the current message malformed, for finishHead.
  void reject();
  /// Called when the head is complete. Returns whether a body may follow.
  virtual bool finishHead(http_parser &RawParser, HeaderList Headers) = 0;
  /// The body of the current message, to which the parser appends.
  virtual std::string &body() = 0;

private:
  static MessageParser &fromParser(http_parser *RawParser);
  static const http_parser_settings &settings();
  static int onUrl(http_parser *RawParser, const char *At, std::size_t Length);
  static int onField(http_parser *RawParser, const char *At,
                     std::size_t Length);
  static int onValue(http_parser *RawParser, const char *At,
                     std::size_t Length);
  static int onHeadersComplete(http_parser *RawParser);
  static int onBody(http_parser *RawParser, const char *At, std::size_t Length);
  static int onMessageComplete(http_parser *RawParser);

  /// Returns 0, or -1 when the head is larger than allowed.
  int countHeadBytes(std::size_t Length);
  void finishField();

  http_parser Parser{};
  http_parser_type Type;
  std::size_t MaxHeadBytes;
  std::size_t MaxBodyBytes;
  std::size_t HeadBytes = 0;
  std::size_t HeadPartBytes = 0;
  /// Memory of the fields that are complete.
  std::size_t FieldMemory = 0;
  std::size_t BodyBytes = 0;
  bool DiscardsBody = false;
  HeaderList Fields;
  std::string FieldName;
  std::string FieldValue;
  bool IsInValue = false;
  bool HeadComplete = false;
  bool Complete = false;
  ParseProblem Problem = ParseProblem::None;
};

} // namespace acaciacross::http

#endif
