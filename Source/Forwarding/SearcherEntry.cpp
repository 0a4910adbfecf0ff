#include "Forwarding/SearcherEntry.h"

namespace acaciacross::forwarding {

bool SearcherEntry::isSameRun(const SearcherEntry &Other) const {
  return this->Id == Other.Id && this->Endpoint == Other.Endpoint &&
         this->StartedUnixMs == Other.StartedUnixMs;
}

} // namespace acaciacross::forwarding
