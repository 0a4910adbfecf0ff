#ifndef ACACIACROSS_GATEWAY_PAGEHANDLER_H
#define ACACIACROSS_GATEWAY_PAGEHANDLER_H

#include "Gateway/PageSource.h"
#include "Gateway/RequestHandler.h"

namespace acaciacross::gateway {

/// Answers each request with the page of one source.
class PageHandler final : public RequestHandler {
public:
  explicit PageHandler(PageSource &Source);

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
  PageSource &Source;
};

} // namespace acaciacross::gateway

#endif
