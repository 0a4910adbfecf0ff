#ifndef ACACIACROSS_QUERY_ATTEMPTIDSOURCE_H
#define ACACIACROSS_QUERY_ATTEMPTIDSOURCE_H

#include "Common/AttemptId.h"

namespace acaciacross::query {

/// Gives out attempt ids, each once. One per traffic thread; the first
/// sequence number keeps the ranges of the threads apart.
class AttemptIdSource {
public:
  AttemptIdSource(common::Incarnation Issuer, std::uint64_t FirstSequence);

  common::AttemptId next();

private:
  common::AttemptId Upcoming;
};

} // namespace acaciacross::query

#endif
