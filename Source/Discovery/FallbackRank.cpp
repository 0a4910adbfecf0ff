#include "Discovery/FallbackRank.h"

#include "Common/Hash.h"

#include <algorithm>
#include <tuple>

namespace acaciacross::discovery {

FallbackRank FallbackRank::of(const common::VmId &Own,
                              std::span<const common::VmId> Live) {
  const auto KeyOf = [](const common::VmId &Vm) {
    return std::tuple(common::stableHash(Vm.Value), Vm);
  };
  const auto OwnKey = KeyOf(Own);
  FallbackRank Rank;
  Rank.Count = std::max<std::size_t>(1, Live.size());
  Rank.Position = static_cast<std::size_t>(std::ranges::count_if(
      Live, [&](const common::VmId &Vm) { return KeyOf(Vm) < OwnKey; }));
  return Rank;
}

} // namespace acaciacross::discovery
