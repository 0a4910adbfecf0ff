#ifndef ACACIACROSS_CONTROL_SEARCHERTABLE_H
#define ACACIACROSS_CONTROL_SEARCHERTABLE_H

#include "Common/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace acaciacross::control {

/// Gives each searcher id a position for as long as it is in a document, so
/// that evidence under way stays attributable when documents change. No
/// position is given twice.
class SearcherTable {
public:
  /// Position of the id; a new one when the id was never seen.
  common::SearcherIndex assign(const common::SearcherId &Id);

  std::optional<common::SearcherIndex> find(const common::SearcherId &Id) const;

  /// Empty when no searcher has the position.
  std::optional<common::SearcherId> idOf(common::SearcherIndex Index) const;

  /// Drops the ids that are not in Kept.
  void retain(const std::set<common::SearcherId> &Kept);
  std::size_t size() const;

private:
  std::unordered_map<common::SearcherId, common::SearcherIndex> Positions;
  std::unordered_map<common::SearcherIndex, common::SearcherId> Ids;
  std::uint32_t NextPosition = 0;
};

} // namespace acaciacross::control

#endif
