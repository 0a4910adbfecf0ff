#ifndef ACACIACROSS_FLEET_LOCALSTATUSSOURCE_H
#define ACACIACROSS_FLEET_LOCALSTATUSSOURCE_H

#include "Common/StorePosition.h"

#include <chrono>

namespace acaciacross::fleet {

/// Provides the state of the store and the load that this VM reports to its
/// peers. Called on the control thread.
class LocalStatusSource {
public:
  virtual ~LocalStatusSource() = default;

  /// The position of the store up to which this VM knows all changes.
  virtual common::StorePosition knownPosition() const = 0;
  /// Time since the newest answer of the store to this VM or a peer, as far as
  /// this VM knows.
  virtual std::chrono::milliseconds answerAge() const = 0;
  /// Recent utilization of this VM by requests, in thousandths.
  virtual unsigned busyPerMille() const = 0;
};

} // namespace acaciacross::fleet

#endif
