#ifndef ACACIACROSS_TRAFFIC_CURLATTEMPTSENDER_H
#define ACACIACROSS_TRAFFIC_CURLATTEMPTSENDER_H

#include "Common/Clock.h"
#include "Query/AttemptSender.h"
#include "Traffic/AttemptTransfer.h"
#include "Traffic/ClosingSockets.h"
#include "Traffic/ConnectionAvailability.h"
#include "Traffic/EndedAttempt.h"
#include "Traffic/PollSender.h"
#include "Traffic/ReservedConnectionSink.h"
#include "Traffic/UpstreamSockets.h"

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acaciacross::traffic {

/// Sends attempts and polls over HTTP/1.1 through one libcurl multi handle, so
/// that both count towards one connection limit. All functions except wake must
/// be called on one thread.
class CurlAttemptSender final : public query::AttemptSender,
                                public ConnectionAvailability,
                                private SocketCloseSink {
public:
  explicit CurlAttemptSender(const common::Clock &Time);
  ~CurlAttemptSender() override;

  CurlAttemptSender(const CurlAttemptSender &) = delete;
  CurlAttemptSender &operator=(const CurlAttemptSender &) = delete;

  /// Sets the sink that receives the number of connections that attempts may
  /// not use. The sink must stay valid while this object is used.
  void setReservedConnectionSink(ReservedConnectionSink &Sink);

  /// Sets the maximum number of connections to each searcher and of connections
  /// kept open in total. libcurl has one limit for all hosts, so the smallest
  /// quota of a service applies to all its searchers. When the quota falls,
  /// idle connections above it are closed at once and busy ones when their
  /// attempts end.
  void setConnectionLimits(std::uint32_t Quota, std::uint32_t MaxCached);

  /// Aborts a running poll of the searcher if the attempt needs its connection.
  void start(const query::AttemptSpec &Spec) override;

  /// Closes the connection of the attempt, which makes the searcher stop its
  /// work.
  void cancel(const common::AttemptId &Id) override;

  bool hasFreeConnection(common::SearcherIndex Searcher) const override;
  void startPoll(const PagePoll &Poll);
  /// Returns and removes the polls that ended up to the last call of perform.
  std::vector<FinishedPoll> takeFinishedPolls();

  /// Number of open connections of this VM to an address.
  std::size_t openConnectionCount(const common::Address &Endpoint) const;
  /// Highest number of connections that were open to one address at the same
  /// time.
  std::size_t peakConnectionCount() const;

  /// Sends and receives what is possible without waiting. Returns the attempts
  /// that ended.
  std::vector<EndedAttempt> perform();

  /// Waits until a socket is ready, wake is called or MaxWait has passed.
  void wait(std::chrono::milliseconds MaxWait);

  /// Ends the running wait, or else the next one. Thread-safe.
  void wake();

private:
  void collectEnded(std::vector<EndedAttempt> &Ended);
  void recordEnded(common::SearcherIndex Searcher);
  std::uint32_t running(common::SearcherIndex Searcher) const;

  void closeExcessConnections();
  void onClosing(const common::Address &Endpoint) override;
  void releaseClosingSockets();
  void reportReserved(common::SearcherIndex Searcher);
  void abortPoll(common::SearcherIndex Searcher);
  void recordEndpoint(common::SearcherIndex Searcher,
                      const common::Address &Endpoint);
  std::uint32_t reservedCount(common::SearcherIndex Searcher) const;

  const common::Clock &TimeSource;
  ReservedConnectionSink *ReservedSink = nullptr;
  /// Endpoints of the searchers that attempts and polls were sent to.
  std::unordered_map<common::SearcherIndex, common::Address> EndpointOf;
  std::map<common::Address, common::SearcherIndex> SearcherAt;
  /// Declared before the members that may close sockets, so that it outlives
  /// them.
  ClosingSockets Closing;
  UpstreamSockets Sockets;
  bool HasExcessConnections = false;
  CURLM *Multi;
  std::unordered_map<common::AttemptId, std::unique_ptr<AttemptTransfer>>
      Transfers;
  /// Number of running attempts; searchers without attempts have no entry.
  std::unordered_map<common::SearcherIndex, std::uint32_t> RunningAttempts;
  std::uint32_t QuotaPerSearcher = 1;
  std::optional<PollSender> Polls;
  /// Attempts that failed within start. perform returns them, so that a query
  /// is not called back while it starts an attempt.
  std::vector<EndedAttempt> FailedStarts;
};

} // namespace acaciacross::traffic

#endif
