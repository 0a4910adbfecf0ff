#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_RECORDINGREPLYSINK_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_RECORDINGREPLYSINK_H

#include "Traffic/ReplySink.h"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace acaciacross::traffic {

/// Records the replies that it receives.
class RecordingReplySink final : public ReplySink {
public:
  void onReply(TrafficReply Reply) override {
    const std::lock_guard Guard(this->Mutex);
    this->Replies.push_back(std::move(Reply));
    this->Arrived.notify_all();
  }

  std::size_t count() const {
    const std::lock_guard Guard(this->Mutex);
    return this->Replies.size();
  }

  /// Waits for the first reply.
  TrafficReply first() const {
    std::unique_lock Guard(this->Mutex);
    this->Arrived.wait(Guard, [this] { return !this->Replies.empty(); });
    return this->Replies.front();
  }

  common::ResultCode refusal() const {
    return std::get<query::Refusal>(*this->first().Result).Code;
  }
  common::ResultCode failure() const {
    return std::get<query::Failure>(*this->first().Result).Code;
  }

private:
  mutable std::mutex Mutex;
  mutable std::condition_variable Arrived;
  std::vector<TrafficReply> Replies;
};

} // namespace acaciacross::traffic

#endif
