#ifndef ACACIACROSS_TRAFFIC_CURLATTEMPTPORT_H
#define ACACIACROSS_TRAFFIC_CURLATTEMPTPORT_H

#include "Common/Clock.h"
#include "Query/AttemptPort.h"
#include "Traffic/CurlTransfer.h"
#include "Traffic/EndedAttempt.h"

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace acaciacross::traffic {

/// Sends attempts over HTTP/1.1 through one libcurl multi handle. All but wake
/// belongs to one thread.
class CurlAttemptPort final : public query::AttemptPort {
public:
  explicit CurlAttemptPort(const common::Clock &Time);
  ~CurlAttemptPort() override;

  CurlAttemptPort(const CurlAttemptPort &) = delete;
  CurlAttemptPort &operator=(const CurlAttemptPort &) = delete;

  /// Connections to each searcher, and connections kept in all.
  void setConnectionLimits(std::uint32_t PerSearcher, std::uint32_t Kept);

  void start(const query::AttemptSpec &Spec) override;

  /// Closes the connection of the attempt, which tells the searcher to stop.
  void cancel(const common::AttemptId &Id) override;

  /// Sends and receives what is possible without waiting; gives the attempts
  /// that ended.
  std::vector<EndedAttempt> perform();

  /// Waits until there is something to do, wake was called, or the time is up.
  void wait(std::chrono::milliseconds Limit);

  /// Ends a running or the next wait. Thread-safe.
  void wake();

private:
  void collectEnded(std::vector<EndedAttempt> &Ended);

  const common::Clock &Ticker;
  CURLM *Multi;
  std::unordered_map<common::AttemptId, std::unique_ptr<CurlTransfer>>
      Transfers;
  /// Ended within start; given out by perform, so that a query is not called
  /// back while it starts an attempt.
  std::vector<EndedAttempt> EndedAtStart;
};

} // namespace acaciacross::traffic

#endif
