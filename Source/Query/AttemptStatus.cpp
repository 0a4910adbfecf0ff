#include "Query/AttemptStatus.h"

namespace acaciacross::query {

bool provesNotRun(AttemptStatus Status) {
  switch (Status) {
  case AttemptStatus::NotSent:
  case AttemptStatus::Shed:
  case AttemptStatus::SnapshotGone:
  case AttemptStatus::ShardGone:
  case AttemptStatus::ExpiredBeforeStart:
    return true;
  case AttemptStatus::Answered:
  case AttemptStatus::Lost:
  case AttemptStatus::Cancelled:
    return false;
  }
  return false;
}

} // namespace acaciacross::query
