#ifndef ACACIACROSS_HTTP_MESSAGEWRITER_H
#define ACACIACROSS_HTTP_MESSAGEWRITER_H

#include "Http/HeaderList.h"
#include "Http/Response.h"

#include <string>
#include <string_view>

namespace acaciacross::http {

/// Appends "Name: Value" and the line end.
void writeHeader(std::string &Output, std::string_view Name,
                 std::string_view Value);
void writeHeaders(std::string &Output, const HeaderList &Headers);

/// A whole response with its length; the connection fields follow from
/// KeepAlive. Headers must be end-to-end fields. A response to HEAD has no
/// body.
std::string writeResponse(const Response &Message, bool IsHead);

std::string_view reasonPhrase(int Status);

} // namespace acaciacross::http

#endif
