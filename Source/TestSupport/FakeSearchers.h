#ifndef ACACIACROSS_TESTSUPPORT_FAKESEARCHERS_H
#define ACACIACROSS_TESTSUPPORT_FAKESEARCHERS_H

#include "Common/RandomSource.h"
#include "Query/AttemptPort.h"
#include "Query/AttemptResult.h"
#include "Query/SnapshotView.h"
#include "TestSupport/DeliveryRecord.h"
#include "TestSupport/EventQueue.h"
#include "TestSupport/ExecutionRecord.h"
#include "TestSupport/FakeFlight.h"
#include "TestSupport/FakeSearcher.h"
#include "TestSupport/FakeSearcherCounts.h"
#include "TestSupport/FakeSearcherSettings.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciacross::testsupport {

/// Searchers behind the AttemptPort interface on virtual time. They hold every
/// published snapshot that was not dropped.
class FakeSearchers final : public query::AttemptPort {
public:
  using ResultHandler = std::function<void(const query::AttemptResult &)>;

  FakeSearchers(EventQueue &Events, common::RandomSource &Random,
                FakeSearcherSettings Settings, std::size_t Count,
                ResultHandler OnResult);

  /// Makes the searchers hold a snapshot; a map of a snapshot that they hold
  /// replaces its key ranges.
  void publish(const query::SnapshotView &Map);

  void start(const query::AttemptSpec &Spec) override;
  void cancel(const common::AttemptId &Id) override;

  /// Breaks what runs and waits there; later requests are refused a connection.
  void kill(common::SearcherIndex Searcher);
  void revive(common::SearcherIndex Searcher);
  void dropSnapshot(common::SearcherIndex Searcher,
                    const common::SnapshotId &Snapshot);
  void failOneIn(common::SearcherIndex Searcher, std::uint64_t Divisor);

  /// The only body that a true reply to the attempt has.
  static std::string bodyFor(const query::AttemptSpec &Spec);
  const std::vector<ExecutionRecord> &executions() const;
  const std::vector<DeliveryRecord> &deliveries() const;
  const FakeSearcherCounts &counts() const;

private:
  bool isOneIn(std::uint64_t Divisor);
  FakeSearcher &searcherOf(const FakeFlight &Flight);
  std::chrono::nanoseconds drawServiceTime();
  void arrive(const common::AttemptId &Id);
  void execute(const common::AttemptId &Id);
  void complete(const common::AttemptId &Id);
  void cancelArrived(const common::AttemptId &Id);
  void releaseSlot(const common::AttemptId &Id);
  void endAfterDelay(const common::AttemptId &Id, query::AttemptStatus Status);
  void deliver(const common::AttemptId &Id, query::AttemptStatus Status);
  std::optional<query::AttemptStatus> refusalOf(const FakeFlight &Flight);
  query::ShardReply makeReply(const FakeFlight &Flight);

  EventQueue &Events;
  common::RandomSource &Random;
  FakeSearcherSettings Settings;
  ResultHandler OnResult;
  std::vector<FakeSearcher> Searchers;
  std::unordered_map<common::SnapshotId,
                     std::unordered_map<common::ShardId, common::KeyRange>>
      Ranges;
  std::unordered_map<common::AttemptId, FakeFlight> Flights;
  /// The newest true reply, which a crossed one repeats.
  query::ShardReply LastReply;
  std::vector<ExecutionRecord> Executions;
  std::vector<DeliveryRecord> Deliveries;
  FakeSearcherCounts Counts;
};

} // namespace acaciacross::testsupport

#endif
