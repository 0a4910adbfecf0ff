#ifndef ACACIACROSS_SYSTEMTESTS_WAITING_H
#define ACACIACROSS_SYSTEMTESTS_WAITING_H

#include <chrono>
#include <functional>

namespace acaciacross::systemtests {

/// Checks the condition every 20 ms until it holds. Returns false if it does
/// not hold within the timeout.
bool waitUntil(std::chrono::milliseconds Timeout,
               const std::function<bool()> &Condition);

} // namespace acaciacross::systemtests

#endif
