#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_MANUALPORT_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_MANUALPORT_H

#include "Query/AttemptPort.h"

#include <vector>

namespace acaciacross::traffic {

/// Keeps the attempts that were started, for the test to end.
class ManualPort final : public query::AttemptPort {
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

} // namespace acaciacross::traffic

#endif
