#ifndef ACACIACROSS_TESTSUPPORT_DELIVERYRECORD_H
#define ACACIACROSS_TESTSUPPORT_DELIVERYRECORD_H

#include "Common/AttemptId.h"
#include "Common/Identifiers.h"
#include "Common/KeyRange.h"

#include <string>

namespace acaciacross::testsupport {

/// Record of a correct reply that a fake searcher delivered for an attempt.
struct DeliveryRecord {
  common::AttemptId Attempt;
  common::RequestId Request;
  common::SnapshotId Snapshot;
  common::ShardId Shard;
  common::KeyRange Range;
  std::string Body;
};

} // namespace acaciacross::testsupport

#endif
