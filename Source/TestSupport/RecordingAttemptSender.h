#ifndef ACACIACROSS_TESTSUPPORT_RECORDINGATTEMPTSENDER_H
#define ACACIACROSS_TESTSUPPORT_RECORDINGATTEMPTSENDER_H

#include "Query/AttemptSender.h"

#include <vector>

namespace acaciacross::testsupport {

/// Records the attempts that were started and cancelled; the test supplies
/// their results.
class RecordingAttemptSender final : public query::AttemptSender {
public:
  void start(const query::AttemptSpec &Spec) override {
    this->Started.push_back(Spec);
  }
  void cancel(const common::AttemptId &Id) override {
    this->Cancelled.push_back(Id);
  }

  std::vector<query::AttemptSpec> Started;
  std::vector<common::AttemptId> Cancelled;
};

} // namespace acaciacross::testsupport

#endif
