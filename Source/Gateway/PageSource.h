#ifndef ACACIACROSS_GATEWAY_PAGESOURCE_H
#define ACACIACROSS_GATEWAY_PAGESOURCE_H

#include "Http/Request.h"
#include "Http/Response.h"

namespace acaciacross::gateway {

/// Produces a page, such as metrics or readiness, from the state of this VM.
class PageSource {
public:
  virtual ~PageSource() = default;

  virtual http::Response page(const http::Request &Request) = 0;
};

} // namespace acaciacross::gateway

#endif
