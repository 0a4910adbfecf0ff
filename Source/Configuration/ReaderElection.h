#ifndef ACACIACROSS_CONFIGURATION_READERELECTION_H
#define ACACIACROSS_CONFIGURATION_READERELECTION_H

#include "Configuration/ReaderCandidate.h"

#include <cstddef>
#include <set>
#include <vector>

namespace acaciacross::configuration {

/// Chooses which VMs watch the configuration service. VMs need not agree: where
/// their views differ, a few more or fewer watch for a while.
class ReaderElection {
public:
  /// One more than needed, so that the loss of a reader leaves one.
  static constexpr std::size_t ReadersPerDomain = 2;

  /// In each failure domain the VMs that rank highest by rendezvous hashing;
  /// serving VMs come before joining ones, and leaving ones are left out.
  static std::set<common::VmId>
  readers(const std::vector<ReaderCandidate> &Live);
};

} // namespace acaciacross::configuration

#endif
