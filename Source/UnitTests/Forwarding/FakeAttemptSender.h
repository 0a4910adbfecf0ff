#ifndef ACACIACROSS_UNITTESTS_FORWARDING_FAKEATTEMPTSENDER_H
#define ACACIACROSS_UNITTESTS_FORWARDING_FAKEATTEMPTSENDER_H

#include "Forwarding/AttemptSender.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// Records started attempts. The test determines how they end.
class FakeAttemptSender final : public AttemptSender {
public:
  struct StartedAttempt {
    AttemptNumber Number;
    std::string Searcher;
    AttemptListener *Listener = nullptr;
    bool IsOpen = true;
    bool WasCancelled = false;
  };

  bool hasFreeConnection(const ReplicaRecord &Replica) const override {
    return !this->FullSearchers.contains(Replica.entry().Id.Value);
  }

  AttemptNumber start(const std::shared_ptr<const ForwardRequest> &,
                      const std::shared_ptr<ReplicaRecord> &Replica,
                      const std::shared_ptr<RouteStatistics> &,
                      common::MonotonicTime,
                      AttemptListener &Listener) override {
    const AttemptNumber Number(this->Attempts.size() + 1);
    this->Attempts.push_back({Number, Replica->entry().Id.Value, &Listener});
    return Number;
  }

  void abandon(AttemptNumber Attempt, AbandonMode Mode) override {
    StartedAttempt &Ended = this->Attempts[Attempt.Value - 1];
    Ended.IsOpen = false;
    Ended.WasCancelled = Mode == AbandonMode::Cancel;
  }

  void awaitConnection(const common::ServiceName &Service,
                       AttemptListener &Listener, const Urgency &) override {
    this->WaitingListeners[Service.Value] = &Listener;
  }

  std::size_t waitingCount(const common::ServiceName &Service) const override {
    const auto Found = this->WaitingCounts.find(Service.Value);
    return Found == this->WaitingCounts.end() ? 0 : Found->second;
  }

  std::size_t waitingCountUpTo(const common::ServiceName &Service,
                               int) const override {
    return this->waitingCount(Service);
  }

  void cancelAwait(AttemptListener &Listener) override {
    std::erase_if(this->WaitingListeners,
                  [&](const auto &Entry) { return Entry.second == &Listener; });
  }

  /// Ends the attempt with that index.
  void end(std::size_t Index, AttemptEnd End, int Status = 0,
           const std::string &Body = "", const std::string &Stamp = "") {
    StartedAttempt &Ended = this->Attempts.at(Index);
    Ended.IsOpen = false;
    AttemptResult Result;
    Result.End = End;
    Result.Response.Status = Status;
    Result.Response.Body = Body;
    Result.Stamp = Stamp;
    Ended.Listener->onAttemptEnded(Ended.Number, Result);
  }

  void answer(std::size_t Index, const std::string &Body) {
    this->end(Index, AttemptEnd::Answered, 200, Body,
              "stamp-" + this->Attempts.at(Index).Searcher);
  }

  std::vector<StartedAttempt> Attempts;
  std::set<std::string> FullSearchers;
  std::map<std::string, std::size_t> WaitingCounts;
  std::map<std::string, AttemptListener *> WaitingListeners;
};

} // namespace acaciacross::forwarding

#endif
