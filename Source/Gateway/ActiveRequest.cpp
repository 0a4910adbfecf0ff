#include "Gateway/ActiveRequest.h"

#include "Gateway/ForwardingHandler.h"

#include <utility>

namespace acaciacross::gateway {

ActiveRequest::ActiveRequest(
    net::EventLoop &Events, ForwardingHandler &Owner,
    std::shared_ptr<ServerConnection> Caller,
    std::shared_ptr<const forwarding::ForwardRequest> Whole)
    : Loop(Events), Handler(Owner), Connection(std::move(Caller)),
      Request(std::move(Whole)) {}

ActiveRequest::~ActiveRequest() {
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
}

void ActiveRequest::start(std::unique_ptr<forwarding::Execution> Plan) {
  this->Execution = std::move(Plan);
  this->Execution->start();
  this->arm();
}

void ActiveRequest::cancel() { this->Execution->cancel(); }

// The next time is looked up when the timer fires: it only moves back when
// shards come in, and a timer that fires too early costs less than a new one
// for each of them.
void ActiveRequest::arm() {
  const auto Due = this->Execution->nextDue();
  if (!Due) {
    if (this->Timer)
      this->Loop.cancel(*this->Timer);
    this->Timer.reset();
    return;
  }
  if (this->Timer && this->Timer->At <= *Due)
    return;
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
  this->Timer = this->Loop.schedule(*Due, [this] {
    this->Timer.reset();
    // An answer removes this object from its owner; the loop keeps it until
    // the end of the round.
    this->Execution->tick();
    this->arm();
  });
}

ServerConnection &ActiveRequest::caller() { return *this->Connection; }

const forwarding::ForwardRequest &ActiveRequest::request() const {
  return *this->Request;
}

void ActiveRequest::onAnswer(forwarding::Answer Result) {
  this->Handler.finish(*this, Result);
}

} // namespace acaciacross::gateway
