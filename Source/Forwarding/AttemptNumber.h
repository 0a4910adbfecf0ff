#ifndef ACACIACROSS_FORWARDING_ATTEMPTNUMBER_H
#define ACACIACROSS_FORWARDING_ATTEMPTNUMBER_H

#include "Common/StrongId.h"

#include <cstdint>

namespace acaciacross::forwarding {

/// One attempt of this process; never used again.
using AttemptNumber = common::StrongId<struct AttemptNumberTag, std::uint64_t>;

} // namespace acaciacross::forwarding

#endif
