#ifndef ACACIACROSS_DISCOVERY_READAGE_H
#define ACACIACROSS_DISCOVERY_READAGE_H

namespace acaciacross::discovery {

/// Consistency required of a read of the store.
enum class ReadAge {
  Newest,
  /// Costs less; the answer may be seconds old.
  MayBeStale,
};

} // namespace acaciacross::discovery

#endif
