#ifndef ACACIACROSS_SYSTEMTESTS_WAITING_H
#define ACACIACROSS_SYSTEMTESTS_WAITING_H

#include <chrono>
#include <functional>

namespace acaciacross::systemtests {

/// Repeats the check every 20 ms; false when it did not hold within the time.
bool waitUntil(std::chrono::milliseconds Longest,
               const std::function<bool()> &Holds);

} // namespace acaciacross::systemtests

#endif
