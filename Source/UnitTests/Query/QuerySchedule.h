#ifndef ACACIACROSS_UNITTESTS_QUERY_QUERYSCHEDULE_H
#define ACACIACROSS_UNITTESTS_QUERY_QUERYSCHEDULE_H

#include "Common/SeededRandom.h"
#include "Limits/ExtraLoadBudget.h"
#include "Routing/PowerOfTwoSelector.h"
#include "TestSupport/FakeSearchers.h"
#include "TestSupport/FixedHedgePolicy.h"
#include "TestSupport/QueryRunner.h"
#include "UnitTests/Query/FinishedQuery.h"

#include <memory>
#include <vector>

namespace acaciacross::query {

/// A random run of queries with kills, vanishing snapshots, repartitioning and
/// bad replies, the same for the same seed.
class QuerySchedule {
public:
  QuerySchedule(std::uint64_t Seed, bool MayRepeat);

  void run();

  const std::vector<FinishedQuery> &finished() const;
  const testsupport::FakeSearchers &searchers() const;
  /// Every map that was published; two may have the same snapshot id.
  const std::vector<SnapshotView> &maps() const;
  std::size_t submitted() const;
  /// False when the queries kept setting timers without end.
  bool hasEnded() const;

private:
  static testsupport::FakeSearcherSettings
  drawSettings(common::RandomSource &Random);

  common::SearcherIndex drawSearcher();
  SnapshotView makeMap(const common::SnapshotId &Id);
  void publishView();
  void scheduleEvents();
  void runEvent();
  void submitQuery();

  common::SeededRandom Random;
  bool MayRepeat;
  testsupport::EventQueue Events;
  routing::PowerOfTwoSelector Selector;
  testsupport::QueryRunner Runner;
  std::uint32_t SearcherCount;
  testsupport::FakeSearchers Searchers;
  limits::ExtraLoadBudget Budget;
  testsupport::FixedHedgePolicy Hedging;

  std::shared_ptr<const ServiceView> Newest;
  std::vector<SnapshotView> Maps;
  std::vector<SnapshotView> InView;
  std::vector<FinishedQuery> Finished;
  std::size_t Submitted = 0;
  std::size_t Steps = 0;
};

} // namespace acaciacross::query

#endif
