#ifndef ACACIACROSS_FORWARDING_ATTEMPTEND_H
#define ACACIACROSS_FORWARDING_ATTEMPTEND_H

#include <cstdint>

namespace acaciacross::forwarding {

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  /// The searcher's whole answer is in, success or not.
  Answered,
  /// The searcher says that it did not run the request and never will.
  NotRun,
  /// Nothing was sent: there was no connection.
  NotSent,
  /// Sent, and no usable answer came; the request may have run.
  Lost,
};

/// For logs.
const char *attemptEndName(AttemptEnd End);

} // namespace acaciacross::forwarding

#endif
