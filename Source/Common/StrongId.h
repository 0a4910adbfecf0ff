#ifndef ACACIACROSS_COMMON_STRONGID_H
#define ACACIACROSS_COMMON_STRONGID_H

#include <compare>
#include <functional>
#include <utility>

namespace acaciacross::common {

/// An identifier whose type differs for each Tag, so that identifiers of
/// different things do not convert to each other.
template <typename Tag, typename Representation> struct StrongId {
  using ValueType = Representation;

  Representation Value{};

  StrongId() = default;
  explicit StrongId(Representation Initial) : Value(std::move(Initial)) {}

  bool operator==(const StrongId &) const = default;
  // Written out, because clang-tidy 14 reports a defaulted operator.
  auto operator<=>(const StrongId &Other) const {
    return this->Value <=> Other.Value;
  }
};

} // namespace acaciacross::common

template <typename Tag, typename Representation>
struct std::hash<acaciacross::common::StrongId<Tag, Representation>> {
  std::size_t operator()(
      const acaciacross::common::StrongId<Tag, Representation> &Id) const {
    return std::hash<Representation>()(Id.Value);
  }
};

#endif
