#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_IGNOREDEVIDENCE_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_IGNOREDEVIDENCE_H

#include "Control/EvidenceSink.h"

namespace acaciacross::traffic {

/// Drops all evidence.
class IgnoredEvidence final : public control::EvidenceSink {
public:
  void report(std::vector<control::UpstreamEvidence>) override {}
  void reportPages(std::vector<upstreams::PolledPage>) override {}
};

} // namespace acaciacross::traffic

#endif
