#ifndef ACACIACROSS_BENCHMARKS_BENCHFLEET_H
#define ACACIACROSS_BENCHMARKS_BENCHFLEET_H

#include "Benchmarks/BenchVm.h"
#include "TestSupport/FakeSearchers.h"
#include "TestSupport/ServiceViewBuilder.h"

namespace acaciacross::benchmarks {

/// Simulated entry VMs and one service of 30 searchers (10 shards of 3
/// replicas, 2 slots each). Requests arrive as a Poisson process, on
/// virtual time.
class BenchFleet {
public:
  BenchFleet(std::size_t VmCount, const std::vector<BenchClass> &Classes,
             testsupport::FakeSearcherSettings Settings);

  /// Schedules requests of a class at a mean rate per second over all VMs, from
  /// now on for Duration. With UsesAdmission they pass the admission queues of
  /// the VMs, otherwise they start at once.
  void startArrivals(const common::ClassName &Class, double Rate,
                     std::chrono::seconds Duration, bool UsesAdmission);

  testsupport::EventQueue &events();
  testsupport::FakeSearchers &searchers();
  const testsupport::FakeSearchers &searchers() const;
  const std::vector<AnswerRecord> &answers() const;
  /// Sum of the query statistics of all VMs.
  query::QueryStatistics statistics() const;
  /// Attempts per second that the slots of all searchers can serve.
  double capacity() const;

private:
  void scheduleNextArrival(const common::ClassName &Class, double Rate,
                           common::MonotonicTime End, bool UsesAdmission);

  testsupport::EventQueue Events;
  common::SeededRandom Random;
  testsupport::FakeSearcherSettings Settings;
  testsupport::ServiceViewBuilder Builder;
  testsupport::FakeSearchers Searchers;
  std::vector<std::unique_ptr<BenchVm>> Vms;
  std::vector<AnswerRecord> Answers;
};

} // namespace acaciacross::benchmarks

#endif
