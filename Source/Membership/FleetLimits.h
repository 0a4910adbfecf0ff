#ifndef ACACIACROSS_MEMBERSHIP_FLEETLIMITS_H
#define ACACIACROSS_MEMBERSHIP_FLEETLIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::membership {

/// A peer is named in address answers while its evidence is at most this old.
/// A VM that stops serves for this time, the validity of address answers and
/// the margin after it has announced that it leaves.
constexpr std::chrono::milliseconds EvidenceLimit{1000};

/// Callers may use an address answer this long.
constexpr std::chrono::milliseconds AddressValidity{3000};

/// Covers the way of an address answer to its caller.
constexpr std::chrono::milliseconds LingerMargin{500};

/// A peer without evidence for this long is lost.
constexpr std::chrono::milliseconds LossLimit{3000};

/// A peer is lost only if this many probes stayed unanswered this long: in a
/// large fleet a peer may not have been probed at all for the loss limit, or
/// only once.
constexpr std::chrono::milliseconds UnansweredLimit{2500};
constexpr std::size_t UnansweredProbes = 3;

/// A lost peer is probed this long, so that a network partition of minutes
/// heals without help of the VM list.
constexpr std::chrono::minutes ForgetLimit{15};

/// Time between two rounds of probes.
constexpr std::chrono::milliseconds ProbePeriod{200};

/// Fleets of up to this many peers are probed whole, in turns.
constexpr std::size_t SmallFleetPeers = 16;

/// Most peers probed per round in a small and in a larger fleet. Each costs
/// about 1.6 KB/s with the acknowledgements and the probes of the peer, out of
/// 14 KB/s; a larger fleet also needs about half of that for documents.
constexpr std::size_t SmallFleetRound = 8;
constexpr std::size_t LargeFleetRound = 3;

/// Of a larger fleet with preferred peers, a round has this many of them and
/// this many others. Eight preferred peers are each probed every 0.6 s, which
/// is within the evidence limit.
constexpr std::size_t PreferredPerRound = 3;
constexpr std::size_t SampledPeers = 1;

/// Most peers kept: the fleet in two years (6,600) with room for replacements.
constexpr std::size_t MaxPeers = 8192;

/// A gap of this length between control ticks counts as a pause.
constexpr std::chrono::milliseconds PauseLimit{500};

} // namespace acaciacross::membership

#endif
