#include "Gateway/IdleSelector.h"

#include <algorithm>
#include <tuple>

namespace acaciacross::gateway {

std::vector<std::size_t>
IdleSelector::select(std::span<const IdleClaim> Claims, std::size_t Count,
                     std::chrono::milliseconds MinIdleTime,
                     common::MonotonicTime Now) {
  std::vector<std::size_t> Candidates;
  for (std::size_t I = 0; I < Claims.size(); ++I)
    if (Now - Claims[I].IdleSince >= MinIdleTime)
      Candidates.push_back(I);
  std::ranges::sort(Candidates, {}, [&](std::size_t I) {
    return std::tuple(Claims[I].HasReadRequest, Claims[I].IdleSince);
  });
  Candidates.resize(std::min(Count, Candidates.size()));
  return Candidates;
}

} // namespace acaciacross::gateway
