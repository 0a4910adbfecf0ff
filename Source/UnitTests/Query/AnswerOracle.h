#ifndef ACACIACROSS_UNITTESTS_QUERY_ANSWERORACLE_H
#define ACACIACROSS_UNITTESTS_QUERY_ANSWERORACLE_H

#include "UnitTests/Query/QuerySchedule.h"

#include <string>

namespace acaciacross::query {

/// Compares the outcomes of a schedule with the records of the fake searchers.
/// Each check returns a description of the first violation, or an empty string.
class AnswerOracle {
public:
  explicit AnswerOracle(const QuerySchedule &Schedule);

  /// Every answer uses one partition map, states the coverage of the replies
  /// delivered for it, and contains only replies to its own attempts.
  std::string checkAnswers() const;
  /// Refused requests never started, and result codes match the outcomes.
  std::string checkRefusals() const;
  /// A request that may not be repeated ran at most once per shard.
  std::string checkAtMostOnce() const;
  /// Extra attempts stay within the target of 0.5 per first attempt.
  std::string checkExtraLoad() const;

private:
  std::string checkAnswer(const FinishedQuery &Query,
                          const PartialAnswer &Answer) const;
  bool matchesMap(const FinishedQuery &Query, const PartialAnswer &Answer,
                  const SnapshotView &Map) const;
  std::size_t countExecutions(const common::RequestId &Request) const;

  const QuerySchedule &Schedule;
};

} // namespace acaciacross::query

#endif
