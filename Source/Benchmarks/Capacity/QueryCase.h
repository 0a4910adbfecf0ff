#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_QUERYCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_QUERYCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Common/SeededRandom.h"
#include "Limits/ExtraLoadBudget.h"
#include "Query/AttemptIdGenerator.h"
#include "Query/QueryExecution.h"
#include "Retries/QuantileHedgePolicy.h"
#include "Routing/PowerOfTwoSelector.h"
#include "TestSupport/ManualClock.h"
#include "TestSupport/RecordingAttemptSender.h"

#include <memory>

namespace acaciacross::benchmarks {

/// Cost of a query in QueryExecution with one answered attempt per shard,
/// without sending, receiving and decoding.
class QueryCase final : public CapacityCase {
public:
  QueryCase(std::uint32_t Shards, std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  query::QueryRequest makeRequest(std::uint64_t Number) const;
  query::AttemptResult answerTo(const query::AttemptSpec &Spec) const;
  void runOne(std::uint64_t Number);

  std::uint32_t Shards;
  std::uint32_t Searchers;
  testsupport::ManualClock Clock;
  common::SeededRandom Random;
  routing::PowerOfTwoSelector Selector;
  retries::QuantileHedgePolicy Hedging;
  limits::ExtraLoadBudget Budget;
  query::AttemptIdGenerator Ids;
  testsupport::RecordingAttemptSender Sender;
  std::shared_ptr<query::ServiceView> View;
};

} // namespace acaciacross::benchmarks

#endif
