#include "Control/SearcherTable.h"

namespace acaciacross::control {

common::SearcherIndex SearcherTable::assign(const common::SearcherId &Id) {
  const common::SearcherIndex Next(this->NextIndex);
  const auto [It, IsNew] = this->Indices.emplace(Id, Next);
  if (IsNew) {
    this->Ids.emplace(Next, Id);
    ++this->NextIndex;
  }
  return It->second;
}

std::optional<common::SearcherIndex>
SearcherTable::find(const common::SearcherId &Id) const {
  const auto It = this->Indices.find(Id);
  if (It == this->Indices.end())
    return std::nullopt;
  return It->second;
}

std::optional<common::SearcherId>
SearcherTable::findId(common::SearcherIndex Index) const {
  const auto It = this->Ids.find(Index);
  if (It == this->Ids.end())
    return std::nullopt;
  return It->second;
}

void SearcherTable::retain(const std::set<common::SearcherId> &KeptIds) {
  std::erase_if(this->Ids, [&](const auto &Entry) {
    return !KeptIds.contains(Entry.second);
  });
  std::erase_if(this->Indices, [&](const auto &Entry) {
    return !KeptIds.contains(Entry.first);
  });
}

std::size_t SearcherTable::size() const { return this->Indices.size(); }

} // namespace acaciacross::control
