#ifndef ACACIACROSS_TRAFFIC_UPSTREAMCODEC_H
#define ACACIACROSS_TRAFFIC_UPSTREAMCODEC_H

#include "Query/AttemptSpec.h"
#include "Query/AttemptStatus.h"
#include "Query/ShardReply.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciacross::traffic {

/// Returns the "Name: value" header lines of an attempt. Empty if a value
/// contains a control character, which could end the header early.
std::optional<std::vector<std::string>>
encodeAttemptHeaders(const query::AttemptSpec &Spec);

/// Empty if the text is not a valid reply.
std::optional<query::ShardReply> decodeShardReply(std::string_view Text);

/// Status of an attempt whose response has an HTTP status other than 200.
query::AttemptStatus statusOfHttpCode(long HttpCode);

} // namespace acaciacross::traffic

#endif
