#include "Traffic/AttemptRegistry.h"

#include <utility>

namespace acaciacross::traffic {

AttemptRegistry::AttemptRegistry(query::AttemptSender &Sender,
                                 const common::Clock &Time)
    : Sender(Sender), TimeSource(Time) {}

void AttemptRegistry::setQuery(std::uint64_t Query) {
  this->CurrentQuery = Query;
}

void AttemptRegistry::start(const query::AttemptSpec &Spec) {
  this->Running.emplace(Spec.Id,
                        RegisteredAttempt{this->CurrentQuery, Spec.Searcher,
                                          this->TimeSource.monotonicNow()});
  this->Sender.start(Spec);
}

// For a searcher that never answers, cancelled attempts are the only evidence.
void AttemptRegistry::cancel(const common::AttemptId &Id) {
  this->Sender.cancel(Id);
  const auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return;
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  this->Evidence.push_back({Found->second.Searcher,
                            query::AttemptStatus::Cancelled, Now,
                            Now - Found->second.StartedAt, false});
  this->Running.erase(Found);
}

std::optional<std::uint64_t> AttemptRegistry::end(const EndedAttempt &Ended) {
  const auto Found = this->Running.find(Ended.Result.Attempt);
  if (Found == this->Running.end())
    return std::nullopt;
  const std::uint64_t Query = Found->second.Query;
  this->Running.erase(Found);
  this->Evidence.push_back({Ended.Searcher, Ended.Result.Status,
                            this->TimeSource.monotonicNow(),
                            Ended.Result.Elapsed, Ended.Result.IsDraining});
  return Query;
}

std::vector<control::UpstreamEvidence> AttemptRegistry::takeEvidence() {
  return std::exchange(this->Evidence, {});
}

} // namespace acaciacross::traffic
