#include "SystemTests/RecordReader.h"

#include "Json/JsonNode.h"

#include "SystemTests/HttpCaller.h"

#include <stdexcept>

namespace acaciacross::systemtests {

std::vector<RecordedExecution>
RecordReader::read(const SearcherHandle &Searcher,
                   const std::string &RequestId) {
  const std::string Filter = RequestId.empty() ? "" : "?request=" + RequestId;
  const HttpReply Reply =
      HttpCaller::call("GET", Searcher.ControlAddress + "/record" + Filter);
  if (Reply.Status != 200)
    throw std::runtime_error("no record from " + Searcher.Id);
  const json::JsonNode List = json::JsonNode::parse(Reply.Body)["executions"];
  std::vector<RecordedExecution> Executions;
  for (std::size_t I = 0; I < List.size(); ++I) {
    const json::JsonNode Item = List.element(I);
    RecordedExecution Entry;
    Entry.Searcher = Item["searcher"].string();
    Entry.RequestId = Item["request_id"].string();
    Entry.Shard = static_cast<std::uint32_t>(Item["shard"].number());
    Entry.Started =
        std::chrono::system_clock::time_point(std::chrono::microseconds(
            static_cast<std::int64_t>(Item["started_unix_us"].number())));
    Entry.Finished = Item["finished_unix_us"].number() > 0;
    Entry.Cancelled = Item["cancelled"].boolean();
    Executions.push_back(Entry);
  }
  return Executions;
}

} // namespace acaciacross::systemtests
