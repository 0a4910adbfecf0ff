#ifndef ACACIACROSS_GATEWAY_ACTIVEREQUEST_H
#define ACACIACROSS_GATEWAY_ACTIVEREQUEST_H

#include "Forwarding/AnswerSink.h"
#include "Forwarding/Execution.h"
#include "Gateway/ServerConnection.h"
#include "Net/EventLoop.h"

#include <memory>
#include <optional>

namespace acaciacross::gateway {

class ForwardingHandler;

/// A request that is being answered: ties its execution to the connection of
/// the caller and to the timers of the loop.
class ActiveRequest final : public forwarding::AnswerSink {
public:
  ActiveRequest(net::EventLoop &Events, ForwardingHandler &Owner,
                std::shared_ptr<ServerConnection> Caller,
                std::shared_ptr<const forwarding::ForwardRequest> Whole);
  ~ActiveRequest() override;
  ActiveRequest(const ActiveRequest &) = delete;
  ActiveRequest &operator=(const ActiveRequest &) = delete;

  void start(std::unique_ptr<forwarding::Execution> Plan);
  void cancel();
  /// Sets the timer for what the execution waits for next.
  void arm();

  ServerConnection &caller();
  const forwarding::ForwardRequest &request() const;

private:
  void onAnswer(forwarding::Answer Result) override;

  net::EventLoop &Loop;
  ForwardingHandler &Handler;
  std::shared_ptr<ServerConnection> Connection;
  std::shared_ptr<const forwarding::ForwardRequest> Request;
  std::unique_ptr<forwarding::Execution> Execution;
  std::optional<net::TimerId> Timer;
};

} // namespace acaciacross::gateway

#endif
