#ifndef ACACIACROSS_FORWARDING_SEARCHERLOAD_H
#define ACACIACROSS_FORWARDING_SEARCHERLOAD_H

namespace acaciacross::forwarding {

/// Load that a searcher reports in a reply.
struct SearcherLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
};

} // namespace acaciacross::forwarding

#endif
