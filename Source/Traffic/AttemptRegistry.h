#ifndef ACACIACROSS_TRAFFIC_ATTEMPTREGISTRY_H
#define ACACIACROSS_TRAFFIC_ATTEMPTREGISTRY_H

#include "Common/Clock.h"
#include "Control/UpstreamEvidence.h"
#include "Query/AttemptSender.h"
#include "Traffic/EndedAttempt.h"
#include "Traffic/RegisteredAttempt.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acaciacross::traffic {

/// Forwards attempts to a sender, records the query of each attempt, and
/// collects evidence about the searchers from the results.
class AttemptRegistry final : public query::AttemptSender {
public:
  AttemptRegistry(query::AttemptSender &Sender, const common::Clock &Time);

  /// Sets the query that subsequently started attempts belong to.
  void setQuery(std::uint64_t Query);

  void start(const query::AttemptSpec &Spec) override;
  void cancel(const common::AttemptId &Id) override;

  /// Removes an ended attempt and returns its query; empty if the attempt was
  /// cancelled.
  std::optional<std::uint64_t> end(const EndedAttempt &Ended);

  std::vector<control::UpstreamEvidence> takeEvidence();

private:
  query::AttemptSender &Sender;
  const common::Clock &TimeSource;
  std::uint64_t CurrentQuery = 0;
  std::unordered_map<common::AttemptId, RegisteredAttempt> Running;
  std::vector<control::UpstreamEvidence> Evidence;
};

} // namespace acaciacross::traffic

#endif
