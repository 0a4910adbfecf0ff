#ifndef ACACIACROSS_CONTROL_SEARCHERTABLE_H
#define ACACIACROSS_CONTROL_SEARCHERTABLE_H

#include "Common/Identifiers.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace acaciacross::control {

/// Gives each searcher id one position for the life of the process, so that
/// evidence under way stays attributable when documents change.
class SearcherTable {
public:
  /// Position of the id; a new one when the id was never seen.
  common::SearcherIndex assign(const common::SearcherId &Id);

  std::optional<common::SearcherIndex> find(const common::SearcherId &Id) const;

  /// Empty when no searcher has the position.
  std::optional<common::SearcherId> idOf(common::SearcherIndex Index) const;

private:
  std::unordered_map<common::SearcherId, common::SearcherIndex> Positions;
  std::vector<common::SearcherId> Ids;
};

} // namespace acaciacross::control

#endif
