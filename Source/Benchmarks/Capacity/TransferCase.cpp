#include "Benchmarks/Capacity/TransferCase.h"

#include <stdexcept>

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Attempts = 8'000;
constexpr std::size_t RequestBytes = 64;

} // namespace

TransferCase::TransferCase(std::uint32_t Count) : Connections(Count) {}

std::string TransferCase::name() const {
  return "transfer.connections_" + std::to_string(this->Connections);
}

std::string TransferCase::unit() const { return "attempt"; }

std::uint64_t TransferCase::operations() const { return Attempts; }

bool TransferCase::isAlone() const { return false; }

void TransferCase::prepare() {
  this->Server = std::make_unique<standins::HttpServer>(
      common::Address{"127.0.0.1", 0}, this->Answers, this->Observer);
  this->Port = std::make_unique<traffic::CurlAttemptPort>(this->Clock);
  this->Port->setConnectionLimits(this->Connections, this->Connections);
  // Opens the connections.
  this->runSome(this->Connections);
}

void TransferCase::run() { this->runSome(Attempts); }

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

// As many run at a time as there are connections.
void TransferCase::runSome(std::uint64_t Count) {
  std::uint64_t Ended = 0;
  std::uint64_t Running = 0;
  for (std::uint64_t Begun = 0; Ended < Count;) {
    for (; Running < this->Connections && Begun < Count; ++Begun, ++Running)
      this->Port->start(this->makeSpec(++this->Started));
    this->Port->wait(std::chrono::milliseconds(1'000));
    for (const traffic::EndedAttempt &Each : this->Port->perform()) {
      if (Each.Result.Status != query::AttemptStatus::Answered)
        throw std::runtime_error("an attempt was not answered");
      ++Ended;
      --Running;
    }
  }
}

} // namespace acaciacross::benchmarks
