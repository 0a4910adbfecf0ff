#include "SystemTests/QueryAnswer.h"

#include "Json/JsonNode.h"

namespace acaciacross::systemtests {

namespace {

std::set<std::uint32_t> shardsOf(const json::JsonNode &List) {
  std::set<std::uint32_t> Shards;
  for (std::size_t I = 0; I < List.size(); ++I)
    Shards.insert(
        static_cast<std::uint32_t>(List.element(I)["shard"].number()));
  return Shards;
}

} // namespace

QueryAnswer QueryAnswer::from(const HttpReply &Reply) {
  const json::JsonNode Body = json::JsonNode::parse(Reply.Body);
  QueryAnswer Answer;
  Answer.Outcome = Reply.Status == 0 ? "" : Body["outcome"].string();
  Answer.Result = Body["result"].string();
  Answer.RunState = Body["run"].string();
  Answer.TicketOwner = Body["ticket_owner"].string();
  Answer.Coverage = Body["coverage"].number();
  Answer.AnsweredShards = shardsOf(Body["answers"]);
  Answer.MissingShards = shardsOf(Body["missing"]);
  Answer.Reply = Reply;
  return Answer;
}

} // namespace acaciacross::systemtests
