#include "Gateway/PageHandler.h"

#include "Gateway/ServerConnection.h"

namespace acaciacross::gateway {

namespace {

constexpr int BadRequest = 400;
// Pages are asked for without a body and with a few fields.
constexpr std::size_t MaxHead = std::size_t{8} << 10;
constexpr std::size_t MaxBody = std::size_t{4} << 10;
constexpr std::chrono::milliseconds HeadLimit{3'000};
// Longer than the period of the platform's checks, so that they reuse their
// connection.
constexpr std::chrono::milliseconds IdleLimit{15'000};

} // namespace

PageHandler::PageHandler(PageSource &Pages) : Source(Pages) {}

void PageHandler::onRequest(const std::shared_ptr<ServerConnection> &Connection,
                            http::Request Request) {
  Connection->respond(this->Source.page(Request));
}

void PageHandler::onClosed(ServerConnection &) {}

void PageHandler::onUnreadable(ServerConnection &Connection,
                               http::ParseProblem) {
  http::Response Reply;
  Reply.Status = BadRequest;
  Connection.respond(std::move(Reply));
}

std::size_t PageHandler::maxHeadBytes() const { return MaxHead; }

std::size_t PageHandler::maxBodyBytes() const { return MaxBody; }

std::chrono::milliseconds PageHandler::headTimeout() const { return HeadLimit; }

std::chrono::milliseconds PageHandler::idleTimeout() const { return IdleLimit; }

bool PageHandler::isStopping() const { return false; }

} // namespace acaciacross::gateway
