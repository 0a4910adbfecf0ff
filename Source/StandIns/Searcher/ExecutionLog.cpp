#include "StandIns/Searcher/ExecutionLog.h"

namespace acaciacross::standins {

ExecutionLog::ExecutionLog(std::size_t Capacity) : Capacity(Capacity) {}

std::uint64_t ExecutionLog::recordStart(Execution Entry) {
  const std::scoped_lock Lock(this->Mutex);
  if (this->Entries.size() == this->Capacity) {
    this->Entries.pop_front();
    ++this->FirstNumber;
  }
  this->Entries.push_back(std::move(Entry));
  return this->FirstNumber + this->Entries.size() - 1;
}

void ExecutionLog::recordEnd(std::uint64_t Number, common::WallTime When,
                             bool IsCancelled) {
  const std::scoped_lock Lock(this->Mutex);
  if (Number < this->FirstNumber)
    return;
  Execution &Entry = this->Entries[Number - this->FirstNumber];
  Entry.FinishedAt = When;
  Entry.IsCancelled = IsCancelled;
}

std::vector<Execution> ExecutionLog::find(const std::string &Searcher,
                                          const std::string &RequestId) const {
  const std::scoped_lock Lock(this->Mutex);
  std::vector<Execution> Found;
  for (const Execution &Entry : this->Entries)
    if ((Searcher.empty() || Entry.Searcher == Searcher) &&
        (RequestId.empty() || Entry.RequestId == RequestId))
      Found.push_back(Entry);
  return Found;
}

} // namespace acaciacross::standins
