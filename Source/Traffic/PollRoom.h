#ifndef ACACIACROSS_TRAFFIC_POLLROOM_H
#define ACACIACROSS_TRAFFIC_POLLROOM_H

#include "Common/Identifiers.h"

namespace acaciacross::traffic {

/// Tells whether connections are left for polls.
class PollRoom {
public:
  virtual ~PollRoom() = default;

  /// False when running requests use up the connection quota of the searcher.
  virtual bool hasRoom(common::SearcherIndex Searcher) const = 0;
};

} // namespace acaciacross::traffic

#endif
