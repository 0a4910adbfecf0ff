#ifndef ACACIACROSS_GATEWAY_SEARCHERREPLY_H
#define ACACIACROSS_GATEWAY_SEARCHERREPLY_H

#include "Forwarding/SearcherLoad.h"

#include <chrono>
#include <optional>
#include <string>

namespace acaciacross::gateway {

/// What a searcher's response says besides its status and body.
struct SearcherReply {
  /// The searcher did not run the request and never will.
  bool IsNotRun = false;
  /// Another searcher has the address now.
  bool IsOtherSearcher = false;
  /// The body is not the searcher's bytes but an encoded form of them.
  bool IsEncoded = false;
  /// Proof of the answer; empty when there is none.
  std::string Stamp;
  /// The request that the response answers, as far as it says so.
  std::optional<std::string> RequestId;
  std::optional<forwarding::SearcherLoad> Load;
  /// How long the searcher keeps the connection open without a request.
  std::optional<std::chrono::seconds> IdleTimeout;
};

} // namespace acaciacross::gateway

#endif
