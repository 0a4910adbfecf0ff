#include "Query/AttemptIdSource.h"

namespace acaciacross::query {

AttemptIdSource::AttemptIdSource(common::Incarnation Issuer,
                                 std::uint64_t FirstSequence)
    : Upcoming{Issuer, FirstSequence} {}

common::AttemptId AttemptIdSource::next() {
  const common::AttemptId Given = this->Upcoming;
  ++this->Upcoming.Sequence;
  return Given;
}

} // namespace acaciacross::query
