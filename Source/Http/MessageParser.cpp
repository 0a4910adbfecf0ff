#include "Http/MessageParser.h"

#include <utility>

namespace acaciacross::http {

MessageParser::MessageParser(http_parser_type Type, std::size_t HeadLimit,
                             std::size_t BodyLimit)
    : Kind(Type), MaxHeadBytes(HeadLimit), MaxBodyBytes(BodyLimit) {
  this->restart();
}

void MessageParser::restart() {
  http_parser_init(&this->Parser, this->Kind);
  this->Parser.data = this;
  this->HeadBytes = 0;
  this->PartBytes = 0;
  this->Fields = HeaderList();
  this->FieldName.clear();
  this->FieldValue.clear();
  this->InValue = false;
  this->HeadDone = false;
  this->Done = false;
  this->Fault = ParseProblem::None;
}

void MessageParser::setLimits(std::size_t HeadLimit, std::size_t BodyLimit) {
  this->MaxHeadBytes = HeadLimit;
  this->MaxBodyBytes = BodyLimit;
}

std::size_t MessageParser::feed(std::string_view Bytes) {
  if (this->Done || this->Fault != ParseProblem::None || Bytes.empty())
    return 0;
  const bool WasInHead = !this->HeadDone;
  const std::size_t Used = http_parser_execute(&this->Parser, &settings(),
                                               Bytes.data(), Bytes.size());
  if (WasInHead)
    this->HeadBytes += Used;
  const auto Code = static_cast<http_errno>(this->Parser.http_errno);
  if (Code != HPE_OK && Code != HPE_PAUSED && this->Fault == ParseProblem::None)
    this->Fault = Code == HPE_HEADER_OVERFLOW ? ParseProblem::HeadTooLarge
                                              : ParseProblem::Malformed;
  if (!this->HeadDone && this->HeadBytes > this->MaxHeadBytes)
    this->Fault = ParseProblem::HeadTooLarge;
  return Used;
}

void MessageParser::end() {
  if (this->Done || this->Fault != ParseProblem::None)
    return;
  http_parser_execute(&this->Parser, &settings(), nullptr, 0);
  if (!this->Done)
    this->Fault = ParseProblem::Malformed;
}

bool MessageParser::hasStarted() const { return this->HeadBytes > 0; }

bool MessageParser::isHeadComplete() const { return this->HeadDone; }

bool MessageParser::isComplete() const { return this->Done; }

ParseProblem MessageParser::problem() const { return this->Fault; }

void MessageParser::takeTarget(std::string_view) {}

MessageParser &MessageParser::of(http_parser *Source) {
  return *static_cast<MessageParser *>(Source->data);
}

const http_parser_settings &MessageParser::settings() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Table;
    http_parser_settings_init(&Table);
    Table.on_url = onUrl;
    Table.on_header_field = onField;
    Table.on_header_value = onValue;
    Table.on_headers_complete = onHeadersComplete;
    Table.on_body = onBody;
    Table.on_message_complete = onMessageComplete;
    return Table;
  }();
  return Callbacks;
}

int MessageParser::onUrl(http_parser *Source, const char *At,
                         std::size_t Length) {
  of(Source).takeTarget({At, Length});
  return of(Source).countHead(Length);
}

int MessageParser::onField(http_parser *Source, const char *At,
                           std::size_t Length) {
  MessageParser &Self = of(Source);
  if (Self.InValue)
    Self.finishField();
  Self.FieldName.append(At, Length);
  return Self.countHead(Length);
}

int MessageParser::onValue(http_parser *Source, const char *At,
                           std::size_t Length) {
  MessageParser &Self = of(Source);
  Self.InValue = true;
  Self.FieldValue.append(At, Length);
  return Self.countHead(Length);
}

int MessageParser::onHeadersComplete(http_parser *Source) {
  MessageParser &Self = of(Source);
  if (Self.InValue)
    Self.finishField();
  Self.HeadDone = true;
  // Protocol upgrades are not offered, so what follows is an ordinary body.
  Source->upgrade = 0;
  const bool MayHaveBody = Self.takeHead(*Source, std::move(Self.Fields));
  Self.Fields = HeaderList();
  return MayHaveBody ? 0 : 1;
}

int MessageParser::onBody(http_parser *Source, const char *At,
                          std::size_t Length) {
  MessageParser &Self = of(Source);
  if (Self.body().size() + Length > Self.MaxBodyBytes) {
    Self.Fault = ParseProblem::BodyTooLarge;
    return 1;
  }
  Self.body().append(At, Length);
  return 0;
}

// Pausing leaves the bytes after the message unread.
int MessageParser::onMessageComplete(http_parser *Source) {
  of(Source).Done = true;
  http_parser_pause(Source, 1);
  return 0;
}

// The parts of a head are counted, since a head that arrives whole in one read
// is complete before its size could be looked at.
int MessageParser::countHead(std::size_t Length) {
  this->PartBytes += Length;
  if (this->PartBytes <= this->MaxHeadBytes)
    return 0;
  this->Fault = ParseProblem::HeadTooLarge;
  return -1;
}

// Trailer fields arrive after the head and are not passed on.
void MessageParser::finishField() {
  if (!this->HeadDone)
    this->Fields.add(std::move(this->FieldName), std::move(this->FieldValue));
  this->FieldName.clear();
  this->FieldValue.clear();
  this->InValue = false;
}

} // namespace acaciacross::http
