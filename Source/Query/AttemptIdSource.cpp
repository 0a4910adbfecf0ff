#include "Query/AttemptIdSource.h"

namespace acaciacross::query {

AttemptIdSource::AttemptIdSource(common::Incarnation Issuer,
                                 std::uint64_t FirstSequence)
    : Next{Issuer, FirstSequence} {}

common::AttemptId AttemptIdSource::next() {
  const common::AttemptId Result = this->Next;
  ++this->Next.Sequence;
  return Result;
}

} // namespace acaciacross::query
