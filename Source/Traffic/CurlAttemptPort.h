#ifndef ACACIACROSS_TRAFFIC_CURLATTEMPTPORT_H
#define ACACIACROSS_TRAFFIC_CURLATTEMPTPORT_H

#include "Common/Clock.h"
#include "Query/AttemptPort.h"
#include "Traffic/ClosingSockets.h"
#include "Traffic/ConnectionHoldSink.h"
#include "Traffic/CurlTransfer.h"
#include "Traffic/EndedAttempt.h"
#include "Traffic/PagePort.h"
#include "Traffic/PollRoom.h"
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
/// that both count within one connection limit. All but wake belongs to one
/// thread.
class CurlAttemptPort final : public query::AttemptPort,
                              public PollRoom,
                              private SocketCloseSink {
public:
  explicit CurlAttemptPort(const common::Clock &Time);
  ~CurlAttemptPort() override;

  CurlAttemptPort(const CurlAttemptPort &) = delete;
  CurlAttemptPort &operator=(const CurlAttemptPort &) = delete;

  /// Has the sink told of connections that attempts may not use. The sink must
  /// outlive the port's use.
  void setHoldSink(ConnectionHoldSink &Told);

  /// Connections to each searcher, and connections kept in all. libcurl has one
  /// limit for all hosts, so where the quotas of a service differ the smallest
  /// one rules at all its searchers. After a fall, idle connections above the
  /// quota are closed at once and busy ones when their attempts end.
  void setConnectionLimits(std::uint32_t Quota, std::uint32_t Kept);

  /// Gives up a poll that would hold up the attempt.
  void start(const query::AttemptSpec &Spec) override;

  /// Closes the connection of the attempt, which tells the searcher to stop.
  void cancel(const common::AttemptId &Id) override;

  bool hasRoom(common::SearcherIndex Searcher) const override;
  void startPoll(const PagePoll &Poll);
  /// Polls that ended before or during the last perform.
  std::vector<EndedPoll> takeEndedPolls();

  /// Connections that this VM holds, and the most it held, to one address.
  std::size_t openAt(const common::Address &Endpoint) const;
  std::size_t peakConnections() const;

  /// Sends and receives what is possible without waiting; gives the attempts
  /// that ended.
  std::vector<EndedAttempt> perform();

  /// Waits until there is something to do, wake was called, or the time is up.
  void wait(std::chrono::milliseconds Limit);

  /// Ends a running or the next wait. Thread-safe.
  void wake();

private:
  void collectEnded(std::vector<EndedAttempt> &Ended);
  void noteEnded(common::SearcherIndex Searcher);
  std::uint32_t running(common::SearcherIndex Searcher) const;

  void closeExcess();
  void onClosing(const common::Address &Endpoint) override;
  void endClosing();
  void tellHeld(common::SearcherIndex Searcher);
  void giveUpPoll(common::SearcherIndex Searcher);
  void noteEndpoint(common::SearcherIndex Searcher,
                    const common::Address &Endpoint);
  std::uint32_t held(common::SearcherIndex Searcher) const;

  const common::Clock &Ticker;
  ConnectionHoldSink *HoldSink = nullptr;
  /// The searchers that attempts and polls were sent to.
  std::unordered_map<common::SearcherIndex, common::Address> EndpointOf;
  std::map<common::Address, common::SearcherIndex> SearcherAt;
  /// Before what may close sockets.
  ClosingSockets Closing;
  UpstreamSockets Sockets;
  bool HasExcess = false;
  CURLM *Multi;
  std::unordered_map<common::AttemptId, std::unique_ptr<CurlTransfer>>
      Transfers;
  /// Running attempts; searchers without any have no entry.
  std::unordered_map<common::SearcherIndex, std::uint32_t> RunningAt;
  std::uint32_t PerSearcher = 1;
  std::optional<PagePort> Pages;
  /// Ended within start; given out by perform, so that a query is not called
  /// back while it starts an attempt.
  std::vector<EndedAttempt> EndedAtStart;
};

} // namespace acaciacross::traffic

#endif
