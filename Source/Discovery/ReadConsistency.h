#ifndef ACACIACROSS_DISCOVERY_READCONSISTENCY_H
#define ACACIACROSS_DISCOVERY_READCONSISTENCY_H

namespace acaciacross::discovery {

/// Consistency required of a read of the store.
enum class ReadConsistency {
  Current,
  /// Costs less; the answer may be seconds old.
  StaleAllowed,
};

} // namespace acaciacross::discovery

#endif
