#include "Control/SearcherTable.h"

namespace acaciacross::control {

common::SearcherIndex SearcherTable::assign(const common::SearcherId &Id) {
  const common::SearcherIndex Next(static_cast<std::uint32_t>(Ids.size()));
  const auto [Position, IsNew] = this->Positions.emplace(Id, Next);
  if (IsNew)
    this->Ids.push_back(Id);
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
  if (Index.Value >= this->Ids.size())
    return std::nullopt;
  return this->Ids[Index.Value];
}

} // namespace acaciacross::control
