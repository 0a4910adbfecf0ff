#include "Query/AttemptIdGenerator.h"

namespace acaciacross::query {

AttemptIdGenerator::AttemptIdGenerator(common::Incarnation Issuer,
                                       std::uint64_t FirstSequence)
    : Next{Issuer, FirstSequence} {}

common::AttemptId AttemptIdGenerator::next() {
  const common::AttemptId Result = this->Next;
  ++this->Next.Sequence;
  return Result;
}

} // namespace acaciacross::query
