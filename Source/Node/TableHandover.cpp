#include "Node/TableHandover.h"

#include <chrono>
#include <cstddef>

namespace acaciacross::node {

namespace {

constexpr std::chrono::milliseconds CheckPeriod{100};
// Versions may follow each other faster than requests end.
constexpr std::size_t MaxReplaced = 64;

} // namespace

TableHandover::TableHandover(net::EventLoop &Loop, logging::EventLog &Log)
    : Loop(Loop), Log(Log) {}

void TableHandover::replace(
    const std::shared_ptr<const forwarding::RoutingTable> &Older,
    const forwarding::RoutingTable &Newer, common::MonotonicTime AcceptedAt) {
  const common::MonotonicTime Now = this->Loop.now();
  this->Log.write(
      logging::LogRecord(common::LogEvent::TableInUse)
          .number("version", static_cast<std::int64_t>(Newer.version()))
          .milliseconds("queued_ms", Now - AcceptedAt));
  if (Older == nullptr || this->Replaced.size() >= MaxReplaced)
    return;
  this->Replaced.push_back({Older, Older->version(), Now});
  if (this->Replaced.size() == 1)
    this->scheduleCheck();
}

void TableHandover::scheduleCheck() {
  this->Loop.schedule(this->Loop.now() + CheckPeriod,
                      [this] { this->check(); });
}

void TableHandover::check() {
  std::erase_if(this->Replaced, [this](const ReplacedTable &Entry) {
    if (!Entry.Table.expired())
      return false;
    this->Log.write(
        logging::LogRecord(common::LogEvent::TableReleased)
            .number("version", static_cast<std::int64_t>(Entry.Version))
            .milliseconds("held_ms", this->Loop.now() - Entry.ReplacedAt));
    return true;
  });
  if (!this->Replaced.empty())
    this->scheduleCheck();
}

} // namespace acaciacross::node
