#ifndef ACACIACROSS_FORWARDING_ATTEMPTEND_H
#define ACACIACROSS_FORWARDING_ATTEMPTEND_H

#include <cstdint>

namespace acaciacross::forwarding {

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  /// The searcher's complete response was received, successful or not.
  Answered,
  /// The searcher reported that it did not run the request and will not.
  NotRun,
  /// Nothing was sent, because no connection could be established.
  NotSent,
  /// The request was sent, but no usable response was received. It may have
  /// run.
  Lost,
};

/// Name of the value in log entries.
const char *attemptEndName(AttemptEnd End);

} // namespace acaciacross::forwarding

#endif
