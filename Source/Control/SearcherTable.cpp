#include "Control/SearcherTable.h"

namespace acaciacross::control {

common::SearcherIndex SearcherTable::assign(const common::SearcherId &Id) {
  const common::SearcherIndex Next(this->NextPosition);
  const auto [Position, IsNew] = this->Positions.emplace(Id, Next);
  if (IsNew) {
    this->Ids.emplace(Next, Id);
    ++this->NextPosition;
  }
  return Position->second;
}

std::optional<common::SearcherIndex>
SearcherTable::find(const common::SearcherId &Id) const {
  const auto Position = this->Positions.find(Id);
  if (Position == this->Positions.end())
    return std::nullopt;
  return Position->second;
}

std::optional<common::SearcherId>
SearcherTable::idOf(common::SearcherIndex Index) const {
  const auto Known = this->Ids.find(Index);
  if (Known == this->Ids.end())
    return std::nullopt;
  return Known->second;
}

void SearcherTable::retain(const std::set<common::SearcherId> &Kept) {
  std::erase_if(this->Ids,
                [&](const auto &Each) { return !Kept.contains(Each.second); });
  std::erase_if(this->Positions,
                [&](const auto &Each) { return !Kept.contains(Each.first); });
}

std::size_t SearcherTable::size() const { return this->Positions.size(); }

} // namespace acaciacross::control
