#ifndef ACACIACROSS_UPSTREAMS_UPSTREAMEVENTKIND_H
#define ACACIACROSS_UPSTREAMS_UPSTREAMEVENTKIND_H

namespace acaciacross::upstreams {

/// Kind of state change of a searcher.
enum class UpstreamEventKind {
  Ejected,
  Restored,
  Leaving,
  Returned,
  /// Slow start began.
  Warming,
  /// Faulty, but not ejected because the fault is probably in this VM.
  EjectionSuppressed,
};

} // namespace acaciacross::upstreams

#endif
