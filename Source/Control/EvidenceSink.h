#ifndef ACACIACROSS_CONTROL_EVIDENCESINK_H
#define ACACIACROSS_CONTROL_EVIDENCESINK_H

#include "Control/UpstreamEvidence.h"
#include "Upstreams/PolledPage.h"

#include <vector>

namespace acaciacross::control {

/// Passes evidence about searchers from traffic threads to the control thread.
class EvidenceSink {
public:
  virtual ~EvidenceSink() = default;

  /// Reports results of attempts. Thread-safe. Traffic threads report them in
  /// batches, so that the cost per attempt is low.
  virtual void reportEvidence(std::vector<UpstreamEvidence> Batch) = 0;

  /// Reports polled pages of searchers. Thread-safe.
  virtual void reportPages(std::vector<upstreams::PolledPage> Batch) = 0;
};

} // namespace acaciacross::control

#endif
