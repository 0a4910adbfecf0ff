#ifndef ACACIACROSS_FORWARDING_ANSWERSINK_H
#define ACACIACROSS_FORWARDING_ANSWERSINK_H

#include "Forwarding/Answer.h"

namespace acaciacross::forwarding {

/// Receives the answer of an execution. Called at most once.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;

  virtual void onAnswer(Answer Result) = 0;
};

} // namespace acaciacross::forwarding

#endif
