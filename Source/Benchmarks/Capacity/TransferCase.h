#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_TRANSFERCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_TRANSFERCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Benchmarks/Capacity/SearchAnswerer.h"
#include "Common/SystemClock.h"
#include "StandIns/Http/HttpServer.h"
#include "StandIns/Http/UnlimitedConnections.h"
#include "Traffic/CurlAttemptSender.h"

#include <memory>

namespace acaciacross::benchmarks {

/// Cost of an attempt over HTTP on loopback to a stand-in that answers
/// immediately. Only the CPU time is meaningful, because other threads run in
/// the same process.
class TransferCase final : public CapacityCase {
public:
  explicit TransferCase(std::uint32_t Connections);
  bool isSingleThreaded() const override;

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  query::AttemptSpec makeSpec(std::uint64_t Number) const;
  void runAttempts(std::uint64_t Count);

  std::uint32_t Connections;
  common::SystemClock Clock;
  SearchAnswerer Handler;
  standins::UnlimitedConnections Observer;
  std::unique_ptr<standins::HttpServer> Server;
  std::unique_ptr<traffic::CurlAttemptSender> Sender;
  std::uint64_t LastAttemptNumber = 0;
};

} // namespace acaciacross::benchmarks

#endif
