#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_DISCARDINGEVIDENCESINK_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_DISCARDINGEVIDENCESINK_H

#include "Control/EvidenceSink.h"

namespace acaciacross::traffic {

/// Discards all evidence.
class DiscardingEvidenceSink final : public control::EvidenceSink {
public:
  void reportEvidence(std::vector<control::UpstreamEvidence>) override {}
  void reportPages(std::vector<upstreams::PolledPage>) override {}
};

} // namespace acaciacross::traffic

#endif
