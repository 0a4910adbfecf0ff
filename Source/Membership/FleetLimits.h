#ifndef ACACIACROSS_MEMBERSHIP_FLEETLIMITS_H
#define ACACIACROSS_MEMBERSHIP_FLEETLIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::membership {

/// A peer is listed in address answers while its evidence is at most this old.
/// A stopping VM keeps serving, after it has announced that it leaves, for the
/// sum of this time, AddressValidity and LingerMargin.
constexpr std::chrono::milliseconds MaxEvidenceAge{1000};

/// Time for which callers may use an address answer.
constexpr std::chrono::milliseconds AddressValidity{3000};

/// Covers the transfer time of an address answer to its caller.
constexpr std::chrono::milliseconds LingerMargin{500};

/// A peer counts as lost after this time without evidence.
constexpr std::chrono::milliseconds LossTimeout{3000};

/// A peer counts as lost only if this many probes, the first of them this long
/// ago, are unanswered: in a large fleet a peer may be probed once or not at
/// all within LossTimeout.
constexpr std::chrono::milliseconds UnansweredTimeout{2500};
constexpr std::size_t MinUnansweredProbes = 3;

/// A lost peer is probed for this time, so that the fleet recovers from a
/// network partition of some minutes without the VM list.
constexpr std::chrono::minutes ForgetTimeout{15};

/// Time between two rounds of probes.
constexpr std::chrono::milliseconds ProbePeriod{200};

/// In fleets of up to this many peers all peers are probed, round robin.
constexpr std::size_t MaxSmallFleetPeers = 16;

/// Maximum number of probes per round in a small and in a large fleet. Each
/// costs about 1.6 KB/s, including acknowledgements and the probes of the peer,
/// of a budget of 14 KB/s. A large fleet needs about half of the budget for
/// documents.
constexpr std::size_t SmallFleetProbesPerRound = 8;
constexpr std::size_t LargeFleetProbesPerRound = 3;

/// Maximum number of addresses that were never probed in one round of a VM that
/// has just started. Until it knows the fleet, it neither knows which VMs take
/// callers nor its share of the fleet's limits.
constexpr std::size_t DiscoveryProbesPerRound = 12;

/// Maximum number of peers in the table: a fleet of 6,600 VMs, as expected in
/// two years, and room for replacements.
constexpr std::size_t MaxPeers = 8192;

/// A longer gap between control ticks counts as a pause.
constexpr std::chrono::milliseconds PauseThreshold{500};

} // namespace acaciacross::membership

#endif
