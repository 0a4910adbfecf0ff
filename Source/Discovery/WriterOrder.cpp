#include "Discovery/WriterOrder.h"

namespace acaciacross::discovery {

// A searcher that drained does not become ready before it starts anew. One
// whose entry was removed while it was ready may have been silent for a while:
// it is back when it has written since.
bool WriterOrder::isOutdated(const std::string &Key,
                             const SearcherReport &Report,
                             std::uint64_t Era) const {
  const auto Found = this->Searchers.find(Key);
  if (Found == this->Searchers.end() || Found->second.Era >= Era)
    return false;
  const Heard &Last = Found->second;
  if (Report.StartedUnixMs != Last.Report.StartedUnixMs)
    return Report.StartedUnixMs < Last.Report.StartedUnixMs;
  if (Last.Report.IsDraining && !Report.IsDraining)
    return true;
  return Last.IsRemoved ? Report.Sequence <= Last.Report.Sequence
                        : Report.Sequence < Last.Report.Sequence;
}

void WriterOrder::record(const std::string &Key, const SearcherReport &Report,
                         std::uint64_t Era) {
  this->Searchers[Key] = {Report, Era, false};
}

void WriterOrder::recordRemoval(const std::string &Key, std::uint64_t Era) {
  const auto Found = this->Searchers.find(Key);
  if (Found == this->Searchers.end())
    return;
  Found->second.Era = Era;
  Found->second.IsRemoved = true;
}

void WriterOrder::forget(const std::string &Key) { this->Searchers.erase(Key); }

} // namespace acaciacross::discovery
