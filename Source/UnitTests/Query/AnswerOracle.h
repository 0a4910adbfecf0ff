#ifndef ACACIACROSS_UNITTESTS_QUERY_ANSWERORACLE_H
#define ACACIACROSS_UNITTESTS_QUERY_ANSWERORACLE_H

#include "UnitTests/Query/QuerySchedule.h"

#include <string>

namespace acaciacross::query {

/// Compares the outcomes of a schedule with what the fake searchers recorded.
/// Each check returns the first violation, or an empty text.
class AnswerOracle {
public:
  explicit AnswerOracle(const QuerySchedule &Schedule);

  /// Every answer rests on one map, states the coverage that the replies
  /// delivered to it amount to, and carries its own attempts' replies only.
  std::string checkAnswers() const;
  /// What was refused was never started, and codes match outcomes.
  std::string checkRefusals() const;
  /// A request that may not be repeated ran at most once per shard.
  std::string checkAtMostOnce() const;
  std::string checkExtraLoad() const;

private:
  std::string checkAnswer(const FinishedQuery &Query,
                          const PartialAnswer &Answer) const;
  bool agrees(const FinishedQuery &Query, const PartialAnswer &Answer,
              const SnapshotView &Map) const;
  std::size_t executionsOf(const common::RequestId &Request) const;

  const QuerySchedule &Schedule;
};

} // namespace acaciacross::query

#endif
