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

/// The "Name: value" lines of an attempt; empty when a value holds a control
/// character, which would end the header early.
std::optional<std::vector<std::string>>
encodeAttemptHeaders(const query::AttemptSpec &Spec);

/// Empty when the text is no valid reply.
std::optional<query::ShardReply> decodeShardReply(std::string_view Text);

/// What a response other than 200 says about the attempt.
query::AttemptStatus statusOfHttpCode(long HttpCode);

} // namespace acaciacross::traffic

#endif
