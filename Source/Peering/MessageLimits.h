#ifndef ACACIACROSS_PEERING_MESSAGELIMITS_H
#define ACACIACROSS_PEERING_MESSAGELIMITS_H

#include "Configuration/ReadSchedule.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciacross::peering {

/// Raised with every change of the encoding; other versions are dropped.
constexpr std::uint8_t MessageVersion = 3;

/// Below the usual path MTU of 1,500, so that no datagram is fragmented.
constexpr std::size_t MaxDatagramBytes = 1200;

/// Longest id of a VM or searcher, and longest name of a failure domain.
constexpr std::size_t MaxNameBytes = 64;

constexpr std::size_t MaxKeyBytes = 200;
/// Two years on: a service per 30 of 42,000 searchers, with room.
constexpr std::size_t MaxKeys = 4096;
/// The configuration service holds values of up to 1 MB.
constexpr std::size_t MaxDocumentBytes = 1U << 20U;

constexpr std::size_t MaxPullBytes = 1U << 20U;
/// One reply; a receiver that is further behind pulls again.
constexpr std::size_t MaxChangesBytes = 4U << 20U;

/// Older drain notices are of no use and are malformed.
constexpr std::chrono::milliseconds MaxDrainAge{600'000};

/// Greatest age of an answer of the configuration service; sent in 2 bytes.
constexpr std::chrono::milliseconds MaxAnswerAge =
    configuration::ReadSchedule::MaxAge;

/// A transfer that has not ended by then is closed.
constexpr std::chrono::milliseconds TransferLimit{3000};
/// Further connections are refused.
constexpr std::size_t MaxServerTransfers = 16;
constexpr std::size_t MaxClientTransfers = 4;

} // namespace acaciacross::peering

#endif
