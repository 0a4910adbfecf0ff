#ifndef ACACIACROSS_GATEWAY_SEARCHERPROTOCOL_H
#define ACACIACROSS_GATEWAY_SEARCHERPROTOCOL_H

#include "Forwarding/ForwardRequest.h"
#include "Forwarding/SearcherEntry.h"
#include "Gateway/ResponseMetadata.h"
#include "Http/Response.h"

#include <chrono>
#include <string>

namespace acaciacross::gateway {

/// Encodes requests for searchers and decodes their responses.
class SearcherProtocol {
public:
  virtual ~SearcherProtocol() = default;

  /// Returns the bytes of the request for this searcher. TimeLeft: how long the
  /// searcher may work on it.
  virtual std::string encode(const forwarding::ForwardRequest &Request,
                             const forwarding::SearcherEntry &Searcher,
                             std::chrono::milliseconds TimeLeft) const = 0;
  virtual ResponseMetadata decode(const http::Response &Response) const = 0;
};

} // namespace acaciacross::gateway

#endif
