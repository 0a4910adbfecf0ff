#ifndef ACACIACROSS_FORWARDING_EXPECTEDANSWER_H
#define ACACIACROSS_FORWARDING_EXPECTEDANSWER_H

#include <chrono>

namespace acaciacross::forwarding {

/// Expected time to the answer of a new request, and what it may take.
struct ExpectedAnswer {
  /// Wait for connections and in the queues of searchers.
  std::chrono::duration<double, std::milli> Wait{0};
  /// Below 0 when the answer is expected too late without any wait.
  std::chrono::duration<double, std::milli> AllowedWait{0};
  /// Time of an answer without a wait.
  std::chrono::duration<double, std::milli> Unloaded{0};
};

} // namespace acaciacross::forwarding

#endif
