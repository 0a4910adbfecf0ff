#ifndef ACACIACROSS_DISCOVERY_READAGE_H
#define ACACIACROSS_DISCOVERY_READAGE_H

namespace acaciacross::discovery {

/// How old an answer of the store may be.
enum class ReadAge {
  Newest,
  /// Cheap, and possibly seconds old.
  MayBeStale,
};

} // namespace acaciacross::discovery

#endif
