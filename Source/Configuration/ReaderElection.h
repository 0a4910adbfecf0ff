#ifndef ACACIACROSS_CONFIGURATION_READERELECTION_H
#define ACACIACROSS_CONFIGURATION_READERELECTION_H

#include "Configuration/ReaderCandidate.h"

#include <cstddef>
#include <set>
#include <vector>

namespace acaciacross::configuration {

/// Elects the VMs that watch the configuration service. The VMs need not agree:
/// while their views differ, there are a few more or fewer readers.
class ReaderElection {
public:
  /// One more than needed, so that one remains when a reader is lost.
  static constexpr std::size_t ReadersPerDomain = 2;

  /// Elects in each failure domain the VMs that rank highest by rendezvous
  /// hashing. Serving VMs come before joining ones; leaving ones are excluded.
  static std::set<common::VmId> elect(const std::vector<ReaderCandidate> &Live);
};

} // namespace acaciacross::configuration

#endif
