#include "Gateway/AnswerTime.h"

#include <algorithm>

namespace acaciacross::gateway {

// A link on which a body of the largest size arrives in time carries an answer
// at the same speed.
std::chrono::milliseconds answerTime(std::size_t AnswerBytes,
                                     std::size_t MaxBodyBytes,
                                     std::chrono::milliseconds BodyTime) {
  const std::size_t Bodies =
      AnswerBytes / std::max<std::size_t>(1, MaxBodyBytes) + 1;
  return BodyTime * static_cast<std::chrono::milliseconds::rep>(Bodies);
}

} // namespace acaciacross::gateway
