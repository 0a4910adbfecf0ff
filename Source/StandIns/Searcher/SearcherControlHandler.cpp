#include "StandIns/Searcher/SearcherControlHandler.h"

#include "StandIns/Searcher/SearcherCodec.h"

namespace acaciacross::standins {

SearcherControlHandler::SearcherControlHandler(
    std::vector<SearcherState *> Searchers, const ExecutionLog &Log)
    : Searchers(std::move(Searchers)), Log(Log) {}

HttpResponse SearcherControlHandler::handle(const HttpRequest &Request) {
  const std::string Route = Request.Method + ' ' + Request.Path;
  if (Route == "POST /control/faults")
    return this->setFaults(Request);
  if (Route == "GET /control/counters")
    return this->counters(Request);
  if (Route == "GET /record")
    return {.Body = SearcherCodec::encode(this->Log.find(
                Request.parameter("searcher"), Request.parameter("request")))};
  return {.Status = 404, .Body = "{}"};
}

std::vector<SearcherState *>
SearcherControlHandler::findSearchers(const HttpRequest &Request) const {
  const std::string Id = Request.parameter("searcher");
  std::vector<SearcherState *> Found;
  for (SearcherState *Searcher : this->Searchers)
    if (Id.empty() || Searcher->settings().Id == Id)
      Found.push_back(Searcher);
  return Found;
}

HttpResponse SearcherControlHandler::setFaults(const HttpRequest &Request) {
  const std::vector<SearcherState *> Targets = this->findSearchers(Request);
  if (Targets.empty())
    return {.Status = 404, .Body = "{}"};
  bool IsValid = true;
  for (SearcherState *Searcher : Targets)
    for (const auto &[Name, Value] : Request.Parameters)
      if (Name != "searcher")
        IsValid &= Searcher->setFault(Name, Value);
  return {.Status = IsValid ? 200U : 400U, .Body = "{}"};
}

HttpResponse
SearcherControlHandler::counters(const HttpRequest &Request) const {
  std::vector<SearcherCounters> Values;
  for (const SearcherState *Searcher : this->findSearchers(Request))
    Values.push_back(Searcher->counters());
  return {.Body = SearcherCodec::encode(Values)};
}

} // namespace acaciacross::standins
