#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_OPENROOM_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_OPENROOM_H

#include "Traffic/PollRoom.h"

#include <set>

namespace acaciacross::traffic {

/// Has room for polls but at the searchers that the test names.
class OpenRoom final : public PollRoom {
public:
  bool hasRoom(common::SearcherIndex Searcher) const override {
    return !this->Full.contains(Searcher);
  }

  std::set<common::SearcherIndex> Full;
};

} // namespace acaciacross::traffic

#endif
