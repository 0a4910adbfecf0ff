#include "SystemTests/Waiting.h"

#include <thread>

namespace acaciacross::systemtests {

bool waitUntil(std::chrono::milliseconds Timeout,
               const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

} // namespace acaciacross::systemtests
