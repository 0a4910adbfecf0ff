#ifndef ACACIACROSS_UPSTREAMS_DRAINSOURCE_H
#define ACACIACROSS_UPSTREAMS_DRAINSOURCE_H

namespace acaciacross::upstreams {

/// Where a sign came from that a searcher is leaving.
enum class DrainSource {
  /// Header of a reply to this VM.
  Reply,
  HealthPage,
  VmList,
  /// Another entry VM.
  Peer,
};

} // namespace acaciacross::upstreams

#endif
