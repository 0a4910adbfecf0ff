#ifndef ACACIACROSS_GATEWAY_FORWARDINGHANDLER_H
#define ACACIACROSS_GATEWAY_FORWARDINGHANDLER_H

#include "Common/Clock.h"
#include "Forwarding/AdmissionPolicy.h"
#include "Forwarding/ForwardingDependencies.h"
#include "Gateway/ActiveRequest.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/RequestCounters.h"
#include "Gateway/RequestHandler.h"
#include "Logging/EventLog.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace acaciacross::gateway {

/// Routes the requests of callers, runs their executions and sends the answers.
class ForwardingHandler final : public RequestHandler {
public:
  ForwardingHandler(net::EventLoop &Loop,
                    const forwarding::ForwardingDependencies &Dependencies,
                    const forwarding::AdmissionPolicy &Admission,
                    const CallerProtocol &Protocol, logging::EventLog &Log);
  ~ForwardingHandler() override;
  ForwardingHandler(const ForwardingHandler &) = delete;
  ForwardingHandler &operator=(const ForwardingHandler &) = delete;

  /// From now on each connection is closed after its next response, and each
  /// request is answered by the given time at the latest.
  void beginStop(common::MonotonicTime AnswerBy);
  /// Number of requests in progress. Thread-safe.
  std::size_t active() const;
  const RequestCounters &counters() const;

  void onRequest(const std::shared_ptr<ServerConnection> &Connection,
                 http::Request Request) override;
  void onClosed(ServerConnection &Connection) override;
  void onRequestError(ServerConnection &Connection,
                      http::ParseProblem Problem) override;
  void onRequestShed(ServerConnection &Connection) override;
  bool wantsBody(const http::Request &Head) const override;
  std::size_t maxHeadBytes() const override;
  std::size_t maxBodyBytes() const override;
  std::chrono::milliseconds headTimeout() const override;
  std::chrono::milliseconds idleTimeout() const override;
  bool isStopping() const override;

private:
  friend class ActiveRequest;

  forwarding::CallerLimits limits() const;
  /// Returns the route of a request; null when there is none.
  static const forwarding::Route *
  findRoute(const forwarding::RoutingTable &Table,
            const http::Request &Message);
  std::vector<common::ServiceName>
  servicesOf(const forwarding::Route &Target) const;
  void
  execute(const std::shared_ptr<ServerConnection> &Connection,
          const std::shared_ptr<const forwarding::ForwardRequest> &Request);
  /// Sends an error response for a request without a route. Events of requests
  /// that do not keep to the limits are left to ClientGuard, which counts them.
  void reject(ServerConnection &Connection, const common::RequestId &Id,
              common::ResultCode Code, int Status,
              std::chrono::milliseconds RetryAfter);
  void finish(ActiveRequest &Request, const forwarding::Answer &Result);
  void record(const forwarding::ForwardRequest &Request,
              const forwarding::Answer &Result);

  net::EventLoop &Loop;
  const forwarding::ForwardingDependencies &Dependencies;
  const forwarding::AdmissionPolicy &Admission;
  const CallerProtocol &Protocol;
  logging::EventLog &Log;
  RequestCounters Counters;
  std::unordered_map<ServerConnection *, std::shared_ptr<ActiveRequest>> Active;
  std::atomic<std::size_t> ActiveCount = 0;
  std::uint64_t OnTargetCount = 0;
  bool Stopping = false;
  common::MonotonicTime AnswerBy = common::MonotonicTime::max();
};

} // namespace acaciacross::gateway

#endif
