#ifndef ACACIACROSS_UNITTESTS_FORWARDING_FAKEATTEMPTPORT_H
#define ACACIACROSS_UNITTESTS_FORWARDING_FAKEATTEMPTPORT_H

#include "Forwarding/AttemptPort.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// Records attempts; the test says how they end.
class FakeAttemptPort final : public AttemptPort {
public:
  struct Sent {
    AttemptNumber Number;
    std::string Searcher;
    AttemptListener *Listener = nullptr;
    bool IsOpen = true;
    bool WasCancelled = false;
  };

  bool hasRoom(const ReplicaRecord &Replica) const override {
    return !this->Full.contains(Replica.entry().Id.Value);
  }

  AttemptNumber start(const std::shared_ptr<const ForwardRequest> &,
                      const std::shared_ptr<ReplicaRecord> &Replica,
                      const std::shared_ptr<RouteStatistics> &,
                      common::MonotonicTime, AttemptListener &Told) override {
    const AttemptNumber Number(this->Attempts.size() + 1);
    this->Attempts.push_back({Number, Replica->entry().Id.Value, &Told});
    return Number;
  }

  void abandon(AttemptNumber Attempt, AbandonMode Mode) override {
    Sent &Ended = this->Attempts[Attempt.Value - 1];
    Ended.IsOpen = false;
    Ended.WasCancelled = Mode == AbandonMode::Cancel;
  }

  void awaitRoom(const common::ServiceName &Service,
                 AttemptListener &Told) override {
    this->Waiting[Service.Value] = &Told;
  }

  std::size_t waiting(const common::ServiceName &Service) const override {
    const auto Found = this->Queued.find(Service.Value);
    return Found == this->Queued.end() ? 0 : Found->second;
  }

  void stopAwaiting(AttemptListener &Told) override {
    std::erase_if(this->Waiting,
                  [&](const auto &Each) { return Each.second == &Told; });
  }

  /// Ends the attempt at that position.
  void end(std::size_t Index, AttemptEnd End, int Status = 0,
           const std::string &Body = "", const std::string &Stamp = "") {
    Sent &Ended = this->Attempts.at(Index);
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

  std::vector<Sent> Attempts;
  std::set<std::string> Full;
  std::map<std::string, std::size_t> Queued;
  std::map<std::string, AttemptListener *> Waiting;
};

} // namespace acaciacross::forwarding

#endif
