#include "Http/MessageParser.h"

#include <utility>

namespace acaciacross::http {

namespace {

// The vector of fields doubles its capacity.
constexpr std::size_t BytesPerEntry = 2 * sizeof(Header);

/// Memory that a text takes outside of the object; none for a short one.
std::size_t allocatedBytes(const std::string &Text) {
  return Text.capacity() > std::string().capacity() ? Text.capacity() + 1 : 0;
}

} // namespace

MessageParser::MessageParser(http_parser_type Type, std::size_t MaxHeadBytes,
                             std::size_t MaxBodyBytes)
    : Type(Type), MaxHeadBytes(MaxHeadBytes), MaxBodyBytes(MaxBodyBytes) {
  this->restart();
}

void MessageParser::restart() {
  http_parser_init(&this->Parser, this->Type);
  this->Parser.data = this;
  this->HeadBytes = 0;
  this->HeadPartBytes = 0;
  this->FieldMemory = 0;
  this->BodyBytes = 0;
  this->DiscardsBody = false;
  this->Fields = HeaderList();
  this->FieldName.clear();
  this->FieldValue.clear();
  this->IsInValue = false;
  this->HeadComplete = false;
  this->Complete = false;
  this->Problem = ParseProblem::None;
}

void MessageParser::setLimits(std::size_t MaxHeadBytes,
                              std::size_t MaxBodyBytes) {
  this->MaxHeadBytes = MaxHeadBytes;
  this->MaxBodyBytes = MaxBodyBytes;
}

void MessageParser::discardBody() {
  this->DiscardsBody = true;
  std::string().swap(this->body());
}

std::size_t MessageParser::feed(std::string_view Bytes) {
  if (this->Complete || this->Problem != ParseProblem::None || Bytes.empty())
    return 0;
  const bool WasInHead = !this->HeadComplete;
  if (WasInHead)
    this->inspectHead(Bytes);
  if (this->Problem != ParseProblem::None)
    return 0;
  const std::size_t Used = http_parser_execute(&this->Parser, &settings(),
                                               Bytes.data(), Bytes.size());
  if (WasInHead)
    this->HeadBytes += Used;
  const auto Code = static_cast<http_errno>(this->Parser.http_errno);
  if (Code != HPE_OK && Code != HPE_PAUSED &&
      this->Problem == ParseProblem::None)
    this->Problem = Code == HPE_HEADER_OVERFLOW ? ParseProblem::HeadTooLarge
                                                : ParseProblem::Malformed;
  if (!this->HeadComplete && this->HeadBytes > this->MaxHeadBytes)
    this->Problem = ParseProblem::HeadTooLarge;
  return Used;
}

void MessageParser::end() {
  if (this->Complete || this->Problem != ParseProblem::None)
    return;
  http_parser_execute(&this->Parser, &settings(), nullptr, 0);
  if (!this->Complete)
    this->Problem = ParseProblem::Malformed;
}

bool MessageParser::hasStarted() const { return this->HeadBytes > 0; }

bool MessageParser::isHeadComplete() const { return this->HeadComplete; }

bool MessageParser::isComplete() const { return this->Complete; }

std::size_t MessageParser::heldBytes() {
  return this->HeadPartBytes + this->FieldMemory + allocatedBytes(this->body());
}

ParseProblem MessageParser::problem() const { return this->Problem; }

void MessageParser::reject() { this->Problem = ParseProblem::Malformed; }

void MessageParser::inspectHead(std::string_view) {}

void MessageParser::appendTarget(std::string_view) {}

MessageParser &MessageParser::fromParser(http_parser *RawParser) {
  return *static_cast<MessageParser *>(RawParser->data);
}

const http_parser_settings &MessageParser::settings() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_url = onUrl;
    Settings.on_header_field = onField;
    Settings.on_header_value = onValue;
    Settings.on_headers_complete = onHeadersComplete;
    Settings.on_body = onBody;
    Settings.on_message_complete = onMessageComplete;
    return Settings;
  }();
  return Callbacks;
}

int MessageParser::onUrl(http_parser *RawParser, const char *At,
                         std::size_t Length) {
  fromParser(RawParser).appendTarget({At, Length});
  return fromParser(RawParser).countHeadBytes(Length);
}

int MessageParser::onField(http_parser *RawParser, const char *At,
                           std::size_t Length) {
  MessageParser &Self = fromParser(RawParser);
  if (Self.IsInValue)
    Self.finishField();
  Self.FieldName.append(At, Length);
  return Self.countHeadBytes(Length);
}

int MessageParser::onValue(http_parser *RawParser, const char *At,
                           std::size_t Length) {
  MessageParser &Self = fromParser(RawParser);
  Self.IsInValue = true;
  Self.FieldValue.append(At, Length);
  return Self.countHeadBytes(Length);
}

int MessageParser::onHeadersComplete(http_parser *RawParser) {
  MessageParser &Self = fromParser(RawParser);
  if (Self.IsInValue)
    Self.finishField();
  Self.HeadComplete = true;
  // Protocol upgrades are not supported, so the bytes that follow are a body.
  RawParser->upgrade = 0;
  const bool MayHaveBody = Self.finishHead(*RawParser, std::move(Self.Fields));
  Self.Fields = HeaderList();
  if (Self.Problem != ParseProblem::None)
    return -1;
  return MayHaveBody ? 0 : 1;
}

int MessageParser::onBody(http_parser *RawParser, const char *At,
                          std::size_t Length) {
  MessageParser &Self = fromParser(RawParser);
  Self.BodyBytes += Length;
  if (Self.BodyBytes > Self.MaxBodyBytes) {
    Self.Problem = ParseProblem::BodyTooLarge;
    return 1;
  }
  if (!Self.DiscardsBody)
    Self.body().append(At, Length);
  return 0;
}

// Pausing the parser leaves the bytes after the message unconsumed.
int MessageParser::onMessageComplete(http_parser *RawParser) {
  fromParser(RawParser).Complete = true;
  http_parser_pause(RawParser, 1);
  return 0;
}

// Counts the parts of a head while they are parsed, since a head that arrives
// in one read is complete before feed can check its size.
int MessageParser::countHeadBytes(std::size_t Length) {
  this->HeadPartBytes += Length;
  if (this->HeadPartBytes <= this->MaxHeadBytes)
    return 0;
  this->Problem = ParseProblem::HeadTooLarge;
  return -1;
}

// Trailer fields arrive after the head and are dropped. http-parser accepts
// names with blanks, which other parsers read in another way or not at all.
void MessageParser::finishField() {
  if (!HeaderList::isValidField(this->FieldName, this->FieldValue))
    this->reject();
  if (!this->HeadComplete) {
    this->FieldMemory += BytesPerEntry + allocatedBytes(this->FieldName) +
                         allocatedBytes(this->FieldValue);
    this->Fields.add(std::move(this->FieldName), std::move(this->FieldValue));
  }
  this->FieldName.clear();
  this->FieldValue.clear();
  this->IsInValue = false;
}

} // namespace acaciacross::http
