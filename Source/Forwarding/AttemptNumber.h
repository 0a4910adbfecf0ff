#ifndef ACACIACROSS_FORWARDING_ATTEMPTNUMBER_H
#define ACACIACROSS_FORWARDING_ATTEMPTNUMBER_H

#include "Common/StrongId.h"

#include <cstdint>

namespace acaciacross::forwarding {

/// Identifies an attempt within this process. Numbers are never reused.
using AttemptNumber = common::StrongId<struct AttemptNumberTag, std::uint64_t>;

} // namespace acaciacross::forwarding

#endif
