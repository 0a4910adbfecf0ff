#ifndef ACACIACROSS_UNITTESTS_FRONTEND_FAKEGATEWAY_H
#define ACACIACROSS_UNITTESTS_FRONTEND_FAKEGATEWAY_H

#include "Traffic/TrafficGateway.h"

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Holds requests of class "held" until the test answers them, and answers the
/// others at once with their own body.
class FakeGateway final : public traffic::TrafficGateway {
public:
  void submit(traffic::TrafficRequest Request,
              std::shared_ptr<traffic::ReplySink> Sink) override {
    if (Request.Class.Value != "held") {
      answer(Request, *Sink);
      return;
    }
    const std::lock_guard Guard(this->Mutex);
    this->Held.emplace_back(std::move(Request), std::move(Sink));
    this->Changed.notify_all();
  }

  void requestTicket(const common::ClassName &,
                     std::shared_ptr<traffic::TicketSink> Sink) override {
    Sink->onTicket({common::ResultCode::TicketTableFull, {}, {}});
  }

  void requestReports(std::shared_ptr<traffic::ReportSink> Sink) override {
    Sink->onReports({});
  }

  std::shared_ptr<const control::ControlView> view() const override {
    return this->View;
  }

  void waitUntilHeld(std::size_t Count) {
    std::unique_lock Guard(this->Mutex);
    this->Changed.wait(Guard, [&] { return this->Held.size() == Count; });
  }

  std::size_t heldCount() {
    const std::lock_guard Guard(this->Mutex);
    return this->Held.size();
  }

  void answerHeld() {
    const std::lock_guard Guard(this->Mutex);
    // In reverse order, so that an answer on the wrong connection is noticed.
    for (; !this->Held.empty(); this->Held.pop_back())
      answer(this->Held.back().first, *this->Held.back().second);
  }

  std::shared_ptr<control::ControlView> View =
      std::make_shared<control::ControlView>();

private:
  static void answer(const traffic::TrafficRequest &Request,
                     traffic::ReplySink &Sink) {
    query::CompleteAnswer Answer;
    Answer.ShardAnswers.push_back({common::ShardId(1), Request.Body});
    Sink.onReply({std::make_shared<const query::Outcome>(Answer), {}});
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<
      std::pair<traffic::TrafficRequest, std::shared_ptr<traffic::ReplySink>>>
      Held;
};

} // namespace acaciacross::frontend

#endif
