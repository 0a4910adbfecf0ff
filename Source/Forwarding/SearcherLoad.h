#ifndef ACACIACROSS_FORWARDING_SEARCHERLOAD_H
#define ACACIACROSS_FORWARDING_SEARCHERLOAD_H

#include <optional>

namespace acaciacross::forwarding {

/// Load that a searcher reports in a reply.
struct SearcherLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
  /// How long work takes on the searcher's machine now; 1 is as usual. Empty
  /// when the searcher does not say.
  std::optional<double> Slowness = std::nullopt;
};

} // namespace acaciacross::forwarding

#endif
