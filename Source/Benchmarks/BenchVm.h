#ifndef ACACIACROSS_BENCHMARKS_BENCHVM_H
#define ACACIACROSS_BENCHMARKS_BENCHVM_H

#include "Benchmarks/AnswerRecord.h"
#include "Benchmarks/BenchClass.h"
#include "Benchmarks/ClassPolicies.h"
#include "Common/SeededRandom.h"
#include "Limits/AdmissionQueue.h"
#include "Routing/PowerOfTwoSelector.h"
#include "TestSupport/QueryRunner.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// One simulated entry VM: replica selection, hedging, extra-load budgets and
/// admission for one service, on virtual time.
class BenchVm {
public:
  using AnswerHandler = std::function<void(const AnswerRecord &)>;

  BenchVm(testsupport::EventQueue &Events, std::uint64_t VmNumber,
          std::shared_ptr<const query::ServiceView> View,
          const std::vector<BenchClass> &Classes, AnswerHandler OnAnswer);

  testsupport::QueryRunner &runner();
  /// Starts a request without admission control.
  void submit(const common::ClassName &Class);
  /// Offers a request to the admission queue, which starts, queues or refuses
  /// it.
  void offer(const common::ClassName &Class);
  /// Sum of the statistics of all finished and running queries.
  query::QueryStatistics statistics() const;
  /// Concurrency limit of the admission queue.
  std::uint32_t limit() const;

private:
  query::QueryRequest makeRequest(const common::ClassName &Class);
  void startQuery(const query::QueryRequest &Request);
  void onQueryFinished(const testsupport::QueryRun &Run);
  void refuse(std::uint64_t RequestNumber);
  void serveQueue();
  void scheduleExpiry();

  testsupport::EventQueue &Events;
  std::uint64_t VmNumber;
  std::shared_ptr<const query::ServiceView> View;
  AnswerHandler OnAnswer;
  common::SeededRandom Random;
  routing::PowerOfTwoSelector Selector;
  testsupport::QueryRunner Runner;
  limits::AdmissionQueue Admission;
  std::map<std::string, std::unique_ptr<ClassPolicies>> Classes;
  std::map<std::uint64_t, query::QueryRequest> QueuedRequests;
  std::map<std::string, common::MonotonicTime> ArrivalTimes;
  std::uint64_t RequestCount = 0;
  query::QueryStatistics Statistics;
};

} // namespace acaciacross::benchmarks

#endif
