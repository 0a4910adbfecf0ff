#include "StandIns/Platform/ChangeLog.h"

#include <algorithm>
#include <map>

namespace acaciacross::standins {

ChangeLog::ChangeLog(std::size_t HistoryLength)
    : HistoryLength(HistoryLength) {}

std::uint64_t ChangeLog::publish(const std::string &Key,
                                 const std::string &Text) {
  this->Entries.push_back({Key, this->Entries.size() + 1, Text});
  return this->Entries.size();
}

std::uint64_t ChangeLog::latestRevision() const { return this->Entries.size(); }

ChangesReply ChangeLog::changesSince(std::uint64_t Since,
                                     std::uint64_t Latest) const {
  ChangesReply Reply;
  Reply.Revision = std::min<std::uint64_t>(Latest, this->Entries.size());
  const std::uint64_t KnownCount = std::min(Since, Reply.Revision);
  const std::uint64_t DroppedCount =
      Reply.Revision -
      std::min<std::uint64_t>(Reply.Revision, this->HistoryLength);
  Reply.Complete = KnownCount < DroppedCount;
  if (Reply.Complete)
    Reply.Changes = this->currentValues(Reply.Revision);
  else
    Reply.Changes.assign(this->Entries.begin() + static_cast<long>(KnownCount),
                         this->Entries.begin() +
                             static_cast<long>(Reply.Revision));
  return Reply;
}

std::vector<ChangeEntry> ChangeLog::currentValues(std::uint64_t Latest) const {
  std::map<std::string, std::size_t> LastIndexOfKey;
  for (std::size_t I = 0; I < Latest; ++I)
    LastIndexOfKey[this->Entries[I].Key] = I;
  std::vector<ChangeEntry> Values;
  Values.reserve(LastIndexOfKey.size());
  for (const auto &[Key, Index] : LastIndexOfKey)
    Values.push_back(this->Entries[Index]);
  std::ranges::sort(Values, {}, &ChangeEntry::Revision);
  return Values;
}

} // namespace acaciacross::standins
