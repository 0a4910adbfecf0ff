#ifndef ACACIACROSS_PEERING_MESSAGELIMITS_H
#define ACACIACROSS_PEERING_MESSAGELIMITS_H

#include "Configuration/FallbackReadSchedule.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciacross::peering {

/// Increased with every change of the encoding. Messages of other versions are
/// dropped.
constexpr std::uint8_t MessageVersion = 3;

/// Less than the usual path MTU of 1,500 bytes, so that no datagram is
/// fragmented.
constexpr std::size_t MaxDatagramBytes = 1200;

/// Maximum length of the id of a VM or searcher and of the name of a failure
/// domain.
constexpr std::size_t MaxNameBytes = 64;

constexpr std::size_t MaxKeyBytes = 200;
/// Allows one service per 30 searchers with the 42,000 searchers expected in
/// two years, and leaves room for more.
constexpr std::size_t MaxKeys = 4096;
/// The configuration service holds values of up to 1 MB.
constexpr std::size_t MaxDocumentBytes = 1U << 20U;

constexpr std::size_t MaxPullBytes = 1U << 20U;
/// Maximum size of one reply. A receiver that needs more pulls again.
constexpr std::size_t MaxChangesBytes = 4U << 20U;

/// Drain notices older than this have no use; a message with one is malformed.
constexpr std::chrono::milliseconds MaxDrainAge{600'000};

/// Maximum age of an answer of the configuration service; the age is encoded in
/// 2 bytes.
constexpr std::chrono::milliseconds MaxAnswerAge =
    configuration::FallbackReadSchedule::MaxAnswerAge;

/// Time after which an unfinished transfer is closed.
constexpr std::chrono::milliseconds TransferLimit{3000};
/// Connections beyond this number are refused.
constexpr std::size_t MaxServerTransfers = 16;
constexpr std::size_t MaxClientTransfers = 4;

} // namespace acaciacross::peering

#endif
