#ifndef ACACIACROSS_TRAFFIC_SERVICEENGINE_H
#define ACACIACROSS_TRAFFIC_SERVICEENGINE_H

#include "Common/Clock.h"
#include "Common/SeededRandom.h"
#include "Control/ControlView.h"
#include "Control/UpstreamEvidence.h"
#include "Limits/AdmissionQueue.h"
#include "Metrics/ClassReport.h"
#include "Query/AttemptIdGenerator.h"
#include "Routing/PowerOfTwoSelector.h"
#include "Traffic/AttemptRegistry.h"
#include "Traffic/ClassTable.h"
#include "Traffic/EngineSettings.h"
#include "Traffic/ReservedConnectionSink.h"
#include "Traffic/RunningQuery.h"
#include "Traffic/TicketHandler.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acaciacross::traffic {

/// Handles all requests of one service: admission, tickets, running queries and
/// metrics. Used on one traffic thread; independent of threads and of HTTP.
class ServiceEngine : public ReservedConnectionSink {
public:
  ServiceEngine(EngineSettings Settings, query::AttemptSender &Sender,
                const common::Clock &Time);

  void updateView(const control::ControlView &View);

  void accept(TrafficRequest Request, std::shared_ptr<ReplySink> Sink);
  TicketReply issueTicket(const common::ClassName &Class);

  void onReservedConnections(common::SearcherIndex Searcher,
                             std::uint32_t Count) override;
  void onAttemptsEnded(const std::vector<EndedAttempt> &Batch);
  void onTimers();
  /// When onTimers is to be called next; empty if no timer is set.
  std::optional<common::MonotonicTime> nextTimer() const;

  /// Refuses all waiting queries and ends all running ones with the replies
  /// received so far.
  void abortAll();
  /// Number of queries that run or wait.
  std::size_t openQueryCount() const;

  /// Number of classes, including kept ones that are no longer in the
  /// configuration.
  std::size_t classCount() const;

  std::vector<control::UpstreamEvidence> takeEvidence();
  std::vector<metrics::ClassReport> reports() const;

private:
  std::optional<common::ResultCode> findRefusal(const TrafficRequest &Request);
  query::QueryRequest makeQuery(const TrafficRequest &Request,
                                const ClassState &Class) const;
  void run(std::uint64_t Number);
  void refuse(const TrafficRequest &Request, ReplySink &Sink,
              common::ResultCode Code);
  /// Refuses a query that waits for admission.
  void refuseWaiting(std::uint64_t Number, common::ResultCode Code);
  void offer(const limits::AdmissionEntry &Entry, common::MonotonicTime Now);
  /// Refuses waiting queries that have expired and runs those that are
  /// admitted.
  void admitWaiting();
  void dropUnusedClasses();
  /// To be called after each call of an execution: replies if the query has
  /// finished, otherwise sets its timer.
  void completeOrReschedule(std::uint64_t Number);

  EngineSettings Settings;
  const common::Clock &TimeSource;
  common::SeededRandom Random;
  AttemptRegistry Attempts;
  routing::PowerOfTwoSelector Selector;
  query::AttemptIdGenerator Ids;
  TicketHandler Tickets;
  limits::AdmissionQueue Admission;
  ClassTable Classes;

  std::shared_ptr<const query::ServiceView> Service;
  std::unordered_map<std::uint64_t, RunningQuery> Queries;
  std::set<std::pair<common::MonotonicTime, std::uint64_t>> Timers;
  std::uint64_t NextQuery = 0;
};

} // namespace acaciacross::traffic

#endif
