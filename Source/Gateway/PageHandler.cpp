#include "Gateway/PageHandler.h"

#include "Gateway/ServerConnection.h"

namespace acaciacross::gateway {

namespace {

constexpr int BadRequest = 400;
constexpr int Unavailable = 503;
// Requests for pages have few header fields and no body.
constexpr std::size_t MaxHeadBytes = std::size_t{8} << 10;
constexpr std::size_t MaxBodyBytes = std::size_t{4} << 10;
constexpr std::chrono::milliseconds HeadTimeout{3'000};
// Longer than the period of the platform's checks, so that they reuse their
// connection.
constexpr std::chrono::milliseconds IdleTimeout{15'000};

} // namespace

PageHandler::PageHandler(PageSource &Source) : Source(Source) {}

void PageHandler::onRequest(const std::shared_ptr<ServerConnection> &Connection,
                            http::Request Request) {
  Connection->respond(this->Source.page(Request));
}

void PageHandler::onClosed(ServerConnection &) {}

void PageHandler::onRequestError(ServerConnection &Connection,
                                 http::ParseProblem) {
  http::Response Reply;
  Reply.Status = BadRequest;
  Connection.respond(std::move(Reply));
}

void PageHandler::onRequestShed(ServerConnection &Connection) {
  http::Response Reply;
  Reply.Status = Unavailable;
  Connection.respond(std::move(Reply));
}

bool PageHandler::wantsBody(const http::Request &) const { return false; }

std::size_t PageHandler::maxHeadBytes() const { return MaxHeadBytes; }

std::size_t PageHandler::maxBodyBytes() const { return MaxBodyBytes; }

std::chrono::milliseconds PageHandler::headTimeout() const {
  return HeadTimeout;
}

std::chrono::milliseconds PageHandler::idleTimeout() const {
  return IdleTimeout;
}

bool PageHandler::isStopping() const { return false; }

} // namespace acaciacross::gateway
