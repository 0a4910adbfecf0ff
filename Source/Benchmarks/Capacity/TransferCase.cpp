#include "Benchmarks/Capacity/TransferCase.h"

#include <stdexcept>

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t AttemptCount = 8'000;
constexpr std::size_t RequestBytes = 64;

} // namespace

TransferCase::TransferCase(std::uint32_t Count) : Connections(Count) {}

std::string TransferCase::name() const {
  return "transfer.connections_" + std::to_string(this->Connections);
}

std::string TransferCase::unit() const { return "attempt"; }

std::uint64_t TransferCase::operations() const { return AttemptCount; }

bool TransferCase::isSingleThreaded() const { return false; }

void TransferCase::prepare() {
  this->Server = std::make_unique<standins::HttpServer>(
      common::Address{"127.0.0.1", 0}, this->Handler, this->Observer);
  this->Sender = std::make_unique<traffic::CurlAttemptSender>(this->Clock);
  this->Sender->setConnectionLimits(this->Connections, this->Connections);
  // Opens the connections, which is not measured.
  this->runAttempts(this->Connections);
}

void TransferCase::run() { this->runAttempts(AttemptCount); }

query::AttemptSpec TransferCase::makeSpec(std::uint64_t Number) const {
  query::AttemptSpec Spec;
  Spec.Id = {common::Incarnation(7), Number};
  Spec.Endpoint = {"127.0.0.1", this->Server->port()};
  Spec.Request = common::RequestId("boat-12-" + std::to_string(Number));
  Spec.Class = common::ClassName("crew-plots");
  Spec.Snapshot = common::SnapshotId("2026-12-04T06");
  Spec.Shard = common::ShardId(3);
  Spec.Deadline = this->Clock.monotonicNow() + std::chrono::seconds(10);
  Spec.WallDeadline = this->Clock.wallNow() + std::chrono::seconds(10);
  Spec.Body = std::string(RequestBytes, 'q');
  return Spec;
}

// Runs Count attempts, at most one per connection at a time.
void TransferCase::runAttempts(std::uint64_t Count) {
  std::uint64_t EndedCount = 0;
  std::uint64_t RunningCount = 0;
  for (std::uint64_t StartedCount = 0; EndedCount < Count;) {
    for (; RunningCount < this->Connections && StartedCount < Count;
         ++StartedCount, ++RunningCount)
      this->Sender->start(this->makeSpec(++this->LastAttemptNumber));
    this->Sender->wait(std::chrono::milliseconds(1'000));
    for (const traffic::EndedAttempt &Attempt : this->Sender->perform()) {
      if (Attempt.Result.Status != query::AttemptStatus::Answered)
        throw std::runtime_error("attempt was not answered");
      ++EndedCount;
      --RunningCount;
    }
  }
}

} // namespace acaciacross::benchmarks
