#ifndef ACACIACROSS_UPSTREAMS_UPSTREAMEVENTKIND_H
#define ACACIACROSS_UPSTREAMS_UPSTREAMEVENTKIND_H

namespace acaciacross::upstreams {

/// What changed for a searcher.
enum class UpstreamEventKind {
  Ejected,
  Restored,
  Leaving,
  Returned,
  /// Starts at a small share.
  Warming,
  /// Faulty, but not ejected because this VM suspects itself.
  EjectionSuppressed,
};

} // namespace acaciacross::upstreams

#endif
