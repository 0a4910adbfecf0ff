#ifndef ACACIACROSS_UPSTREAMS_DRAINSOURCE_H
#define ACACIACROSS_UPSTREAMS_DRAINSOURCE_H

namespace acaciacross::upstreams {

/// Source of a signal that a searcher is leaving.
enum class DrainSource {
  /// The draining header in a reply to this VM.
  Reply,
  HealthPage,
  VmList,
  /// A drain notice from another entry VM.
  Peer,
};

} // namespace acaciacross::upstreams

#endif
