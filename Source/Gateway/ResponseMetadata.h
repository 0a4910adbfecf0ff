#ifndef ACACIACROSS_GATEWAY_RESPONSEMETADATA_H
#define ACACIACROSS_GATEWAY_RESPONSEMETADATA_H

#include "Forwarding/SearcherLoad.h"
#include "Forwarding/SearcherNotice.h"

#include <chrono>
#include <optional>
#include <string>

namespace acaciacross::gateway {

/// Metadata of a searcher's response, besides status and body.
struct ResponseMetadata {
  /// The searcher has not run the request and will not run it later.
  bool IsNotRun = false;
  /// Another searcher now uses the address and sent the response.
  bool IsFromOtherSearcher = false;
  /// The body has a content coding, so it is not the searcher's original bytes.
  bool HasContentCoding = false;
  /// The searcher's proof that it computed the answer; empty when there is
  /// none.
  std::string Stamp;
  /// Id of the request that the response answers; empty when not given.
  std::optional<std::string> RequestId;
  std::optional<forwarding::SearcherLoad> Load;
  /// Empty in a response of another searcher.
  forwarding::SearcherNotice Notice;
  /// How long the searcher keeps the connection open without a request; empty
  /// when not given.
  std::optional<std::chrono::seconds> IdleTimeout;
};

} // namespace acaciacross::gateway

#endif
