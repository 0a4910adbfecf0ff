#ifndef ACACIACROSS_TESTSUPPORT_DELIVERYRECORD_H
#define ACACIACROSS_TESTSUPPORT_DELIVERYRECORD_H

#include "Common/AttemptId.h"
#include "Common/Identifiers.h"
#include "Common/KeyRange.h"

#include <string>

namespace acaciacross::testsupport {

/// A fake searcher's true reply to an attempt was handed over.
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
