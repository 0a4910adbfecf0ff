#ifndef ACACIACROSS_COMMON_STOREPOSITION_H
#define ACACIACROSS_COMMON_STOREPOSITION_H

#include <compare>
#include <cstdint>
#include <tuple>

namespace acaciacross::common {

/// A point in the history of the store. After the store was restored from an
/// older copy it gives out revisions again, in the next era, so a revision has
/// a meaning only together with its era.
struct StorePosition {
  constexpr StorePosition() = default;
  /// A position in a store that tells no era.
  constexpr StorePosition(std::uint64_t Revision) : Revision(Revision) {}
  constexpr StorePosition(std::uint64_t Era, std::uint64_t Revision)
      : Era(Era), Revision(Revision) {}

  bool operator==(const StorePosition &) const = default;
  // Written out, because clang-tidy 14 reports a defaulted operator.
  auto operator<=>(const StorePosition &Other) const {
    return std::tie(this->Era, this->Revision) <=>
           std::tie(Other.Era, Other.Revision);
  }

  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
};

} // namespace acaciacross::common

#endif
