#ifndef ACACIACROSS_GATEWAY_CALLERPROTOCOL_H
#define ACACIACROSS_GATEWAY_CALLERPROTOCOL_H

#include "Forwarding/Answer.h"
#include "Gateway/RequestMetadata.h"
#include "Http/Request.h"
#include "Http/Response.h"

namespace acaciacross::gateway {

/// Decodes the requests of callers and encodes the answers to them.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  virtual RequestMetadata decode(const http::Request &Request) const = 0;
  virtual http::Response encode(const forwarding::Answer &Result) const = 0;
};

} // namespace acaciacross::gateway

#endif
