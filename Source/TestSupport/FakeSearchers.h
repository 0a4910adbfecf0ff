#ifndef ACACIACROSS_TESTSUPPORT_FAKESEARCHERS_H
#define ACACIACROSS_TESTSUPPORT_FAKESEARCHERS_H

#include "Common/RandomSource.h"
#include "Query/AttemptResult.h"
#include "Query/AttemptSender.h"
#include "Query/SnapshotView.h"
#include "TestSupport/DeliveryRecord.h"
#include "TestSupport/EventQueue.h"
#include "TestSupport/ExecutionRecord.h"
#include "TestSupport/FakeAttempt.h"
#include "TestSupport/FakeSearcher.h"
#include "TestSupport/FakeSearcherCounts.h"
#include "TestSupport/FakeSearcherSettings.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciacross::testsupport {

/// Fake searchers on virtual time that implement AttemptSender. They hold every
/// published snapshot that was not dropped.
class FakeSearchers final : public query::AttemptSender {
public:
  using ResultHandler = std::function<void(const query::AttemptResult &)>;

  FakeSearchers(EventQueue &Events, common::RandomSource &Random,
                FakeSearcherSettings Settings, std::size_t Count,
                ResultHandler OnResult);

  /// Makes the searchers hold a snapshot. If they hold it already, the map
  /// replaces its key ranges.
  void publish(const query::SnapshotView &Map);

  void start(const query::AttemptSpec &Spec) override;
  void cancel(const common::AttemptId &Id) override;

  /// Ends the running and waiting attempts of a searcher as lost; later
  /// attempts can't connect.
  void kill(common::SearcherIndex Searcher);
  void revive(common::SearcherIndex Searcher);
  void dropSnapshot(common::SearcherIndex Searcher,
                    const common::SnapshotId &Snapshot);
  /// Makes one in Divisor requests of a searcher fail; 0: none.
  void setFailOneIn(common::SearcherIndex Searcher, std::uint64_t Divisor);

  /// Body of a correct reply to the attempt. It differs for each attempt.
  static std::string expectedBody(const query::AttemptSpec &Spec);
  const std::vector<ExecutionRecord> &executions() const;
  const std::vector<DeliveryRecord> &deliveries() const;
  const FakeSearcherCounts &counts() const;

private:
  bool happensOneIn(std::uint64_t Divisor);
  FakeSearcher &searcherOf(const FakeAttempt &Attempt);
  std::chrono::nanoseconds drawServiceTime();
  void onArrived(const common::AttemptId &Id);
  void execute(const common::AttemptId &Id);
  void complete(const common::AttemptId &Id);
  void onCancelArrived(const common::AttemptId &Id);
  void releaseSlot(const common::AttemptId &Id);
  void endAfterDelay(const common::AttemptId &Id, query::AttemptStatus Status);
  void deliver(const common::AttemptId &Id, query::AttemptStatus Status);
  std::optional<query::AttemptStatus> refusalStatus(const FakeAttempt &Attempt);
  query::ShardReply makeReply(const FakeAttempt &Attempt);

  EventQueue &Events;
  common::RandomSource &Random;
  FakeSearcherSettings Settings;
  ResultHandler OnResult;
  std::vector<FakeSearcher> Searchers;
  std::unordered_map<common::SnapshotId,
                     std::unordered_map<common::ShardId, common::KeyRange>>
      Ranges;
  std::unordered_map<common::AttemptId, FakeAttempt> Attempts;
  /// The newest correct reply, sent again in place of a reply that is swapped.
  query::ShardReply LastReply;
  std::vector<ExecutionRecord> Executions;
  std::vector<DeliveryRecord> Deliveries;
  FakeSearcherCounts Counts;
};

} // namespace acaciacross::testsupport

#endif
