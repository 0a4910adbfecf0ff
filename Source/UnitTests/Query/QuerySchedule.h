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

/// A random schedule of queries, searcher failures, removed snapshots,
/// repartitioning and bad replies. It is deterministic for each seed.
class QuerySchedule {
public:
  QuerySchedule(std::uint64_t Seed, bool AllowRepeatable);

  void run();

  const std::vector<FinishedQuery> &finished() const;
  const testsupport::FakeSearchers &searchers() const;
  /// Every partition map that was published; several may have the same snapshot
  /// id.
  const std::vector<SnapshotView> &maps() const;
  std::size_t submitted() const;
  /// False when the step limit was reached because events kept being scheduled.
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
  bool AllowRepeatable;
  testsupport::EventQueue Events;
  routing::PowerOfTwoSelector Selector;
  testsupport::QueryRunner Runner;
  std::uint32_t SearcherCount;
  testsupport::FakeSearchers Searchers;
  limits::ExtraLoadBudget Budget;
  testsupport::FixedHedgePolicy Hedging;

  std::shared_ptr<const ServiceView> NewestView;
  std::vector<SnapshotView> Maps;
  std::vector<SnapshotView> VisibleMaps;
  std::vector<FinishedQuery> Finished;
  std::size_t Submitted = 0;
  std::size_t Steps = 0;
};

} // namespace acaciacross::query

#endif
