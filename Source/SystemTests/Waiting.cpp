#include "SystemTests/Waiting.h"

#include <thread>

namespace acaciacross::systemtests {

bool waitUntil(std::chrono::milliseconds Longest,
               const std::function<bool()> &Holds) {
  const auto End = std::chrono::steady_clock::now() + Longest;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

} // namespace acaciacross::systemtests
