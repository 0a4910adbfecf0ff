#ifndef ACACIACROSS_DISCOVERY_EVACUATEDDOMAINS_H
#define ACACIACROSS_DISCOVERY_EVACUATEDDOMAINS_H

#include "Common/Time.h"
#include "Logging/EventLog.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace acaciacross::discovery {

/// The failure domains whose searchers must get nothing, because the operator
/// has published a key that says so. The loss of such a key in an outage of the
/// store does not end an evacuation before the store has told of it again.
class EvacuatedDomains final {
public:
  explicit EvacuatedDomains(logging::EventLog &Log);

  // Each of these returns whether names() has changed.
  bool add(const std::string &Key, const std::string &Domain,
           common::MonotonicTime Now);
  /// The key was removed. HeldUntil: when the removal takes effect unless the
  /// key returns before; empty for at once.
  bool remove(const std::string &Key,
              std::optional<common::MonotonicTime> HeldUntil,
              common::MonotonicTime Now);
  /// Ends the evacuations whose hold is over.
  bool expire(common::MonotonicTime Now);

  /// Replaces holds without an end, when the store is available again.
  void limitHolds(common::MonotonicTime HeldUntil);

  std::set<std::string> names() const;

private:
  struct Evacuation {
    std::string Domain;
    common::MonotonicTime Since;
    std::optional<common::MonotonicTime> HeldUntil;
  };

  std::map<std::string, Evacuation>::iterator
  end(std::map<std::string, Evacuation>::iterator It,
      common::MonotonicTime Now);

  logging::EventLog &Log;
  std::map<std::string, Evacuation> ByKey;
};

} // namespace acaciacross::discovery

#endif
