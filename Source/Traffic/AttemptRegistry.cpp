#include "Traffic/AttemptRegistry.h"

#include <utility>

namespace acaciacross::traffic {

AttemptRegistry::AttemptRegistry(query::AttemptPort &Sender,
                                 const common::Clock &Time)
    : Port(Sender), Ticker(Time) {}

void AttemptRegistry::setQuery(std::uint64_t Query) {
  this->CurrentQuery = Query;
}

void AttemptRegistry::start(const query::AttemptSpec &Spec) {
  this->Running.emplace(Spec.Id,
                        AttemptOrigin{this->CurrentQuery, Spec.Searcher,
                                      this->Ticker.monotonicNow()});
  this->Port.start(Spec);
}

// A searcher that never answers shows itself only by cancelled attempts.
void AttemptRegistry::cancel(const common::AttemptId &Id) {
  this->Port.cancel(Id);
  const auto Known = this->Running.find(Id);
  if (Known == this->Running.end())
    return;
  const common::MonotonicTime Now = this->Ticker.monotonicNow();
  this->Evidence.push_back({Known->second.Searcher,
                            query::AttemptStatus::Cancelled, Now,
                            Now - Known->second.StartedAt, false});
  this->Running.erase(Known);
}

std::optional<std::uint64_t> AttemptRegistry::end(const EndedAttempt &Ended) {
  const auto Known = this->Running.find(Ended.Result.Attempt);
  if (Known == this->Running.end())
    return std::nullopt;
  const std::uint64_t Query = Known->second.Query;
  this->Running.erase(Known);
  this->Evidence.push_back({Ended.Searcher, Ended.Result.Status,
                            this->Ticker.monotonicNow(), Ended.Result.Elapsed,
                            Ended.Result.Draining});
  return Query;
}

std::vector<control::UpstreamEvidence> AttemptRegistry::takeEvidence() {
  return std::exchange(this->Evidence, {});
}

} // namespace acaciacross::traffic
