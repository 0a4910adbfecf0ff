#ifndef ACACIACROSS_TRAFFIC_SERVICEENGINE_H
#define ACACIACROSS_TRAFFIC_SERVICEENGINE_H

#include "Common/Clock.h"
#include "Common/SeededRandom.h"
#include "Control/ControlView.h"
#include "Control/UpstreamEvidence.h"
#include "Limits/AdmissionQueue.h"
#include "Metrics/ClassReport.h"
#include "Query/AttemptIdSource.h"
#include "Routing/PowerOfTwoSelector.h"
#include "Traffic/AttemptRegistry.h"
#include "Traffic/ClassTable.h"
#include "Traffic/ConnectionHoldSink.h"
#include "Traffic/EngineSettings.h"
#include "Traffic/RunningQuery.h"
#include "Traffic/TicketDesk.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acaciacross::traffic {

/// All requests of one service: admission, tickets, running queries and
/// metrics. Belongs to one traffic thread and knows neither it nor HTTP.
class ServiceEngine : public ConnectionHoldSink {
public:
  ServiceEngine(EngineSettings Chosen, query::AttemptPort &Sender,
                const common::Clock &Time);

  void updateView(const control::ControlView &View);

  void accept(TrafficRequest Request, std::shared_ptr<ReplySink> Sink);
  TicketReply issueTicket(const common::ClassName &Class);

  void onHeld(common::SearcherIndex Searcher, std::uint32_t Count) override;
  void onAttemptsEnded(const std::vector<EndedAttempt> &Batch);
  void onTimers();
  /// Empty when nothing is due.
  std::optional<common::MonotonicTime> nextTimer() const;

  /// Refuses what waits and ends what runs with what it has.
  void abortAll();
  /// Queries that run or wait.
  std::size_t openCount() const;

  /// Classes that it keeps, also those that have left the configuration.
  std::size_t classCount() const;

  std::vector<control::UpstreamEvidence> takeEvidence();
  std::vector<metrics::ClassReport> reports() const;

private:
  std::optional<common::ResultCode> refusalOf(const TrafficRequest &Request);
  query::QueryRequest makeQuery(const TrafficRequest &Request,
                                const ClassState &Class) const;
  void run(std::uint64_t Number);
  void refuse(const TrafficRequest &Request, ReplySink &Sink,
              common::ResultCode Code);
  /// The same for a query that waits.
  void refuseWaiting(std::uint64_t Number, common::ResultCode Code);
  void offer(const limits::AdmissionEntry &Entry, common::MonotonicTime Now);
  /// Runs or refuses what has waited.
  void admitWaiting();
  void dropUnusedClasses();
  /// After each call into an execution: answers it when it has finished, else
  /// sets its timer.
  void settle(std::uint64_t Number);

  EngineSettings Settings;
  const common::Clock &Ticker;
  common::SeededRandom Random;
  AttemptRegistry Attempts;
  routing::PowerOfTwoSelector Selector;
  query::AttemptIdSource Ids;
  TicketDesk Tickets;
  limits::AdmissionQueue Admission;
  ClassTable Classes;

  std::shared_ptr<const query::ServiceView> Service;
  std::unordered_map<std::uint64_t, RunningQuery> Queries;
  std::set<std::pair<common::MonotonicTime, std::uint64_t>> Timers;
  std::uint64_t NextQuery = 0;
};

} // namespace acaciacross::traffic

#endif
