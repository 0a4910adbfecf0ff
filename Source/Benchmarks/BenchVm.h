#ifndef ACACIACROSS_BENCHMARKS_BENCHVM_H
#define ACACIACROSS_BENCHMARKS_BENCHVM_H

#include "Benchmarks/AnswerRecord.h"
#include "Benchmarks/BenchClass.h"
#include "Benchmarks/ClassDecisions.h"
#include "Common/SeededRandom.h"
#include "Limits/AdmissionQueue.h"
#include "Routing/PowerOfTwoSelector.h"
#include "TestSupport/QueryRunner.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// The decision classes of one entry VM for one service, on virtual time.
class BenchVm {
public:
  using AnswerHandler = std::function<void(const AnswerRecord &)>;

  BenchVm(testsupport::EventQueue &Events, std::uint64_t Number,
          std::shared_ptr<const query::ServiceView> View,
          const std::vector<BenchClass> &Classes, AnswerHandler OnAnswer);

  testsupport::QueryRunner &runner();
  /// Runs a request at once.
  void submit(const common::ClassName &Class);
  /// Passes a request through the admission queue.
  void offer(const common::ClassName &Class);
  /// Work of all queries up to now.
  query::QueryStatistics statistics() const;
  std::uint32_t limit() const;

private:
  query::QueryRequest makeRequest(const common::ClassName &Class);
  void startQuery(const query::QueryRequest &Request);
  void onQueryFinished(const testsupport::QueryRun &Run);
  void refuse(std::uint64_t Number);
  void serveQueue();
  void setTimer();

  testsupport::EventQueue &Events;
  std::uint64_t VmNumber;
  std::shared_ptr<const query::ServiceView> View;
  AnswerHandler OnAnswer;
  common::SeededRandom Random;
  routing::PowerOfTwoSelector Selector;
  testsupport::QueryRunner Runner;
  limits::AdmissionQueue Admission;
  std::map<std::string, std::unique_ptr<ClassDecisions>> Classes;
  std::map<std::uint64_t, query::QueryRequest> Waiting;
  std::map<std::string, common::MonotonicTime> ArrivalOf;
  std::uint64_t Requests = 0;
  query::QueryStatistics Statistics;
};

} // namespace acaciacross::benchmarks

#endif
