#include "StandIns/Searcher/SearcherControlHandler.h"

#include "StandIns/Searcher/SearcherCodec.h"

namespace acaciacross::standins {

SearcherControlHandler::SearcherControlHandler(
    std::vector<SearcherState *> Searchers, const ExecutionRecord &Record)
    : Searchers(std::move(Searchers)), Record(Record) {}

HttpResponse SearcherControlHandler::handle(const HttpRequest &Request) {
  const std::string Call = Request.Method + ' ' + Request.Path;
  if (Call == "POST /control/faults")
    return this->setFaults(Request);
  if (Call == "GET /control/counters")
    return this->counters(Request);
  if (Call == "GET /record")
    return {.Body = SearcherCodec::encode(this->Record.find(
                Request.parameter("searcher"), Request.parameter("request")))};
  return {.Status = 404, .Body = "{}"};
}

std::vector<SearcherState *>
SearcherControlHandler::named(const HttpRequest &Request) const {
  const std::string Id = Request.parameter("searcher");
  std::vector<SearcherState *> Found;
  for (SearcherState *Searcher : this->Searchers)
    if (Id.empty() || Searcher->settings().Id == Id)
      Found.push_back(Searcher);
  return Found;
}

HttpResponse SearcherControlHandler::setFaults(const HttpRequest &Request) {
  const std::vector<SearcherState *> Targets = this->named(Request);
  if (Targets.empty())
    return {.Status = 404, .Body = "{}"};
  bool Valid = true;
  for (SearcherState *Searcher : Targets)
    for (const auto &[Name, Value] : Request.Parameters)
      if (Name != "searcher")
        Valid &= Searcher->setFault(Name, Value);
  return {.Status = Valid ? 200U : 400U, .Body = "{}"};
}

HttpResponse
SearcherControlHandler::counters(const HttpRequest &Request) const {
  std::vector<SearcherCounters> Values;
  for (const SearcherState *Searcher : this->named(Request))
    Values.push_back(Searcher->counters());
  return {.Body = SearcherCodec::encode(Values)};
}

} // namespace acaciacross::standins
