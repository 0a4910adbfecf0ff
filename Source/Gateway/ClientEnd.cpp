#include "Gateway/ClientEnd.h"

namespace acaciacross::gateway {

const char *clientEndName(ClientEnd Cause) {
  switch (Cause) {
  case ClientEnd::Memory:
    return "memory";
  case ClientEnd::Oversized:
    return "oversized";
  case ClientEnd::SlowHead:
    return "slow_head";
  case ClientEnd::SlowBody:
    return "slow_body";
  case ClientEnd::SlowAnswer:
    return "slow_answer";
  case ClientEnd::Idle:
    return "idle";
  }
  return "unknown";
}

} // namespace acaciacross::gateway
