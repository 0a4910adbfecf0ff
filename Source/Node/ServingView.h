#ifndef ACACIACROSS_NODE_SERVINGVIEW_H
#define ACACIACROSS_NODE_SERVINGVIEW_H

#include "Routing/AddressCandidate.h"

#include <vector>

namespace acaciacross::node {

/// What the pages of a VM tell of it. Only on the traffic thread.
class ServingView {
public:
  virtual ~ServingView() = default;

  /// Whether this VM takes requests of callers.
  virtual bool isReady() const = 0;
  /// Entry VMs that a caller may connect to; at most Most.
  virtual std::vector<routing::AddressCandidate>
  addresses(std::size_t Most) = 0;
};

} // namespace acaciacross::node

#endif
