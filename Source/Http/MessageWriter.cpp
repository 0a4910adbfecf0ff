#include "Http/MessageWriter.h"

#include <http_parser.h>

namespace acaciacross::http {

namespace {

bool hasNoBody(int Status) {
  return Status == 204 || Status == 304 || (Status >= 100 && Status < 200);
}

} // namespace

void writeHeader(std::string &Output, std::string_view Name,
                 std::string_view Value) {
  Output.append(Name).append(": ").append(Value).append("\r\n");
}

void writeHeaders(std::string &Output, const HeaderList &Headers) {
  for (const Header &Field : Headers.fields())
    writeHeader(Output, Field.Name, Field.Value);
}

std::string writeResponse(const Response &Message, bool IsHeadRequest) {
  std::string Output;
  Output.reserve(256 + Message.Body.size());
  Output.append("HTTP/1.1 ").append(std::to_string(Message.Status));
  Output.append(" ").append(reasonPhrase(Message.Status)).append("\r\n");
  writeHeaders(Output, Message.Headers);
  if (!hasNoBody(Message.Status))
    writeHeader(Output, "Content-Length", std::to_string(Message.Body.size()));
  if (!Message.KeepAlive)
    writeHeader(Output, "Connection", "close");
  Output.append("\r\n");
  if (!IsHeadRequest && !hasNoBody(Message.Status))
    Output.append(Message.Body);
  return Output;
}

std::string_view reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status));
}

} // namespace acaciacross::http
