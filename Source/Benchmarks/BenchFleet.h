#ifndef ACACIACROSS_BENCHMARKS_BENCHFLEET_H
#define ACACIACROSS_BENCHMARKS_BENCHFLEET_H

#include "Benchmarks/BenchVm.h"
#include "TestSupport/FakeSearchers.h"
#include "TestSupport/ServiceViewBuilder.h"

namespace acaciacross::benchmarks {

/// Entry VMs over one service of 30 searchers (10 shards of 3 replicas, 2 slots
/// each), with requests that arrive at random.
class BenchFleet {
public:
  BenchFleet(std::size_t VmCount, const std::vector<BenchClass> &Classes,
             testsupport::FakeSearcherSettings Settings);

  /// Lets requests of a class arrive at a mean rate per second over all VMs, up
  /// to a time from now. UsesAdmission: through the VMs' admission queues.
  void arrive(const common::ClassName &Class, double Rate,
              std::chrono::seconds Duration, bool UsesAdmission);

  testsupport::EventQueue &events();
  testsupport::FakeSearchers &searchers();
  const testsupport::FakeSearchers &searchers() const;
  const std::vector<AnswerRecord> &answers() const;
  /// Work of all VMs.
  query::QueryStatistics statistics() const;
  /// Attempts per second that the slots can serve.
  double capacity() const;

private:
  void scheduleArrival(const common::ClassName &Class, double Rate,
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
