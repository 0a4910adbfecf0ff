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

/// A request in progress: connects its execution to the connection of the
/// caller and to the timers of the event loop.
class ActiveRequest final : public forwarding::AnswerSink {
public:
  ActiveRequest(net::EventLoop &Loop, ForwardingHandler &Handler,
                std::shared_ptr<ServerConnection> CallerConnection,
                std::shared_ptr<const forwarding::ForwardRequest> Request);
  ~ActiveRequest() override;
  ActiveRequest(const ActiveRequest &) = delete;
  ActiveRequest &operator=(const ActiveRequest &) = delete;

  void start(std::unique_ptr<forwarding::Execution> NewExecution);
  /// Ends the request by Time at the latest, with the answer that is known
  /// then.
  void endBy(common::MonotonicTime Time);
  void cancel();
  /// Sets the timer for the next time at which the execution is due.
  void armTimer();

  ServerConnection &connection();
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
