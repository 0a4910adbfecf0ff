#include "Forwarding/AttemptEnd.h"

namespace acaciacross::forwarding {

const char *attemptEndName(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::NotRun:
    return "not_run";
  case AttemptEnd::NotSent:
    return "not_sent";
  case AttemptEnd::Lost:
    return "lost";
  }
  return "unknown";
}

} // namespace acaciacross::forwarding
