#ifndef ACACIACROSS_CONTROL_EVIDENCESINK_H
#define ACACIACROSS_CONTROL_EVIDENCESINK_H

#include "Control/UpstreamEvidence.h"
#include "Upstreams/PolledPage.h"

#include <vector>

namespace acaciacross::control {

/// Takes evidence from traffic threads to the control thread.
class EvidenceSink {
public:
  virtual ~EvidenceSink() = default;

  /// Thread-safe. Callers collect evidence and report it in batches, so that
  /// the hand-over costs little per attempt.
  virtual void report(std::vector<UpstreamEvidence> Batch) = 0;

  /// Thread-safe. The same for pages of searchers.
  virtual void reportPages(std::vector<upstreams::PolledPage> Batch) = 0;
};

} // namespace acaciacross::control

#endif
