#ifndef ACACIACROSS_GATEWAY_ANSWERTIME_H
#define ACACIACROSS_GATEWAY_ANSWERTIME_H

#include <chrono>
#include <cstddef>

namespace acaciacross::gateway {

/// Returns how long a caller may take to read the whole of an answer. Without a
/// bound for the whole, one byte now and then would keep the answer in memory.
/// BodyTime: the time in which a request body of MaxBodyBytes must arrive.
std::chrono::milliseconds answerTime(std::size_t AnswerBytes,
                                     std::size_t MaxBodyBytes,
                                     std::chrono::milliseconds BodyTime);

} // namespace acaciacross::gateway

#endif
