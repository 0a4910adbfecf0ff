#ifndef ACACIACROSS_HTTP_MESSAGEWRITER_H
#define ACACIACROSS_HTTP_MESSAGEWRITER_H

#include "Http/HeaderList.h"
#include "Http/Response.h"

#include <string>
#include <string_view>

namespace acaciacross::http {

/// Appends "Name: Value" and the end of the line.
void writeHeader(std::string &Output, std::string_view Name,
                 std::string_view Value);
void writeHeaders(std::string &Output, const HeaderList &Headers);

/// Returns the bytes of a response. The length is added, and the Connection
/// field is derived from KeepAlive, so Headers must be end-to-end fields.
/// IsHeadRequest: the response answers a HEAD request and is written without
/// its body.
std::string writeResponse(const Response &Message, bool IsHeadRequest);

/// Standard reason phrase of a status code.
std::string_view reasonPhrase(int Status);

} // namespace acaciacross::http

#endif
