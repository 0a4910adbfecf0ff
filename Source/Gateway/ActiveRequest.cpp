#include "Gateway/ActiveRequest.h"

#include "Gateway/ForwardingHandler.h"

#include <utility>

namespace acaciacross::gateway {

ActiveRequest::ActiveRequest(
    net::EventLoop &Loop, ForwardingHandler &Handler,
    std::shared_ptr<ServerConnection> CallerConnection,
    std::shared_ptr<const forwarding::ForwardRequest> Request)
    : Loop(Loop), Handler(Handler), Connection(std::move(CallerConnection)),
      Request(std::move(Request)) {}

ActiveRequest::~ActiveRequest() {
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
}

void ActiveRequest::start(std::unique_ptr<forwarding::Execution> NewExecution) {
  this->Execution = std::move(NewExecution);
  this->Execution->start();
  this->armTimer();
}

void ActiveRequest::endBy(common::MonotonicTime Time) {
  this->Execution->endBy(Time);
  this->armTimer();
}

void ActiveRequest::cancel() { this->Execution->cancel(); }

// The due time only moves to a later time when shards arrive. A timer that
// fires too early and is set again costs less than a new timer for each shard.
void ActiveRequest::armTimer() {
  const auto NextDue = this->Execution->nextDue();
  if (!NextDue) {
    if (this->Timer)
      this->Loop.cancel(*this->Timer);
    this->Timer.reset();
    return;
  }
  if (this->Timer && this->Timer->DueAt <= *NextDue)
    return;
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
  this->Timer = this->Loop.schedule(*NextDue, [this] {
    this->Timer.reset();
    // When tick gives an answer, the handler releases this object; the loop
    // keeps it alive until the end of the round.
    this->Execution->tick();
    this->armTimer();
  });
}

ServerConnection &ActiveRequest::connection() { return *this->Connection; }

const forwarding::ForwardRequest &ActiveRequest::request() const {
  return *this->Request;
}

void ActiveRequest::onAnswer(forwarding::Answer Result) {
  this->Handler.finish(*this, Result);
}

} // namespace acaciacross::gateway
