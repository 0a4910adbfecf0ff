#ifndef ACACIACROSS_QUERY_ATTEMPTIDGENERATOR_H
#define ACACIACROSS_QUERY_ATTEMPTIDGENERATOR_H

#include "Common/AttemptId.h"

namespace acaciacross::query {

/// Generates unique attempt ids. Each traffic thread has its own instance; the
/// first sequence number keeps the ranges of the threads apart.
class AttemptIdGenerator {
public:
  AttemptIdGenerator(common::Incarnation Issuer, std::uint64_t FirstSequence);

  common::AttemptId next();

private:
  common::AttemptId Next;
};

} // namespace acaciacross::query

#endif
