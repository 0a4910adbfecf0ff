#ifndef ACACIACROSS_TRAFFIC_REPLYSINK_H
#define ACACIACROSS_TRAFFIC_REPLYSINK_H

#include "Traffic/TrafficReply.h"

namespace acaciacross::traffic {

/// Receives the reply to one request. Called once, on any thread; must return
/// without blocking.
class ReplySink {
public:
  virtual ~ReplySink() = default;

  virtual void onReply(TrafficReply Reply) = 0;
};

} // namespace acaciacross::traffic

#endif
