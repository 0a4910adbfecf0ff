#ifndef ACACIACROSS_NODE_NODESTATUS_H
#define ACACIACROSS_NODE_NODESTATUS_H

#include "Routing/AddressCandidate.h"
#include "Routing/AddressQuery.h"

#include <cstddef>
#include <vector>

namespace acaciacross::node {

/// State of this VM that its readiness and directory pages report. For use on
/// the traffic thread only.
class NodeStatus {
public:
  virtual ~NodeStatus() = default;

  /// Whether this VM accepts requests of callers.
  virtual bool isReady() const = 0;
  /// Returns at most MaxCount entry VMs that a caller may connect to; empty
  /// while the fleet is unknown, or while it is unknown where the routes of the
  /// host have their homes.
  virtual std::vector<routing::AddressCandidate>
  addresses(std::size_t MaxCount, const routing::AddressQuery &Query) = 0;
};

} // namespace acaciacross::node

#endif
