#include "StandIns/Platform/ChangeLog.h"

#include <algorithm>
#include <map>

namespace acaciacross::standins {

ChangeLog::ChangeLog(std::size_t History) : History(History) {}

std::uint64_t ChangeLog::publish(const std::string &Key,
                                 const std::string &Text) {
  this->Entries.push_back({Key, this->Entries.size() + 1, Text});
  return this->Entries.size();
}

std::uint64_t ChangeLog::latest() const { return this->Entries.size(); }

ChangesReply ChangeLog::changesSince(std::uint64_t Since,
                                     std::uint64_t Latest) const {
  ChangesReply Reply;
  Reply.Revision = std::min<std::uint64_t>(Latest, this->Entries.size());
  const std::uint64_t Known = std::min(Since, Reply.Revision);
  const std::uint64_t Dropped =
      Reply.Revision - std::min<std::uint64_t>(Reply.Revision, this->History);
  Reply.Complete = Known < Dropped;
  if (Reply.Complete)
    Reply.Changes = this->currentSet(Reply.Revision);
  else
    Reply.Changes.assign(this->Entries.begin() + static_cast<long>(Known),
                         this->Entries.begin() +
                             static_cast<long>(Reply.Revision));
  return Reply;
}

std::vector<ChangeEntry> ChangeLog::currentSet(std::uint64_t Latest) const {
  std::map<std::string, std::size_t> LastOfKey;
  for (std::size_t I = 0; I < Latest; ++I)
    LastOfKey[this->Entries[I].Key] = I;
  std::vector<ChangeEntry> Current;
  Current.reserve(LastOfKey.size());
  for (const auto &[Key, Index] : LastOfKey)
    Current.push_back(this->Entries[Index]);
  std::ranges::sort(Current, {}, &ChangeEntry::Revision);
  return Current;
}

} // namespace acaciacross::standins
