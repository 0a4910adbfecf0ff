#ifndef ACACIACROSS_CONTROL_SEARCHERTABLE_H
#define ACACIACROSS_CONTROL_SEARCHERTABLE_H

#include "Common/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace acaciacross::control {

/// Assigns each searcher id an index for as long as a document contains it, so
/// that queued evidence still refers to the right searcher after documents
/// change. An index is never reused.
class SearcherTable {
public:
  /// Index of the id; a new one if the id is not in the table.
  common::SearcherIndex assign(const common::SearcherId &Id);

  std::optional<common::SearcherIndex> find(const common::SearcherId &Id) const;

  /// Empty if no searcher has the index.
  std::optional<common::SearcherId> findId(common::SearcherIndex Index) const;

  /// Removes the ids that are not in KeptIds.
  void retain(const std::set<common::SearcherId> &KeptIds);
  std::size_t size() const;

private:
  std::unordered_map<common::SearcherId, common::SearcherIndex> Indices;
  std::unordered_map<common::SearcherIndex, common::SearcherId> Ids;
  std::uint32_t NextIndex = 0;
};

} // namespace acaciacross::control

#endif
