#include "Query/ReplyCheck.h"

namespace acaciacross::query {

bool ReplyCheck::accepts(const ShardReply &Reply) const {
  return Reply.Attempt == this->Attempt && Reply.Snapshot == this->Snapshot &&
         Reply.Shard == this->Shard.Id && Reply.Range == this->Shard.Range;
}

} // namespace acaciacross::query
