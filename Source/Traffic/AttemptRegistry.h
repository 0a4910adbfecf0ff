#ifndef ACACIACROSS_TRAFFIC_ATTEMPTREGISTRY_H
#define ACACIACROSS_TRAFFIC_ATTEMPTREGISTRY_H

#include "Common/Clock.h"
#include "Control/UpstreamEvidence.h"
#include "Query/AttemptPort.h"
#include "Traffic/AttemptOrigin.h"
#include "Traffic/EndedAttempt.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acaciacross::traffic {

/// Passes attempts on to a port, remembers whose they are, and collects what
/// they show of the searchers.
class AttemptRegistry final : public query::AttemptPort {
public:
  AttemptRegistry(query::AttemptPort &Sender, const common::Clock &Time);

  /// Attempts that start from now on belong to this query.
  void setQuery(std::uint64_t Query);

  void start(const query::AttemptSpec &Spec) override;
  void cancel(const common::AttemptId &Id) override;

  /// The query of an ended attempt; empty when it was cancelled.
  std::optional<std::uint64_t> end(const EndedAttempt &Ended);

  std::vector<control::UpstreamEvidence> takeEvidence();

private:
  query::AttemptPort &Port;
  const common::Clock &Ticker;
  std::uint64_t CurrentQuery = 0;
  std::unordered_map<common::AttemptId, AttemptOrigin> Running;
  std::vector<control::UpstreamEvidence> Evidence;
};

} // namespace acaciacross::traffic

#endif
