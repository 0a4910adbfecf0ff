#ifndef ACACIACROSS_GATEWAY_SEARCHERPROTOCOL_H
#define ACACIACROSS_GATEWAY_SEARCHERPROTOCOL_H

#include "Forwarding/ForwardRequest.h"
#include "Forwarding/SearcherEntry.h"
#include "Gateway/SearcherReply.h"
#include "Http/Response.h"

#include <chrono>
#include <string>

namespace acaciacross::gateway {

/// The encoding towards searchers.
class SearcherProtocol {
public:
  virtual ~SearcherProtocol() = default;

  /// The whole request for that searcher, which may work on it for TimeLeft.
  virtual std::string encode(const forwarding::ForwardRequest &Request,
                             const forwarding::SearcherEntry &Searcher,
                             std::chrono::milliseconds TimeLeft) const = 0;
  virtual SearcherReply decode(const http::Response &Response) const = 0;
};

} // namespace acaciacross::gateway

#endif
