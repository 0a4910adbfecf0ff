#include "StandIns/Searcher/SearcherProcess.h"

namespace acaciacross::standins {

namespace {

constexpr std::size_t RecordedExecutions = 500'000;

} // namespace

SearcherProcess::SearcherProcess(const ProcessSettings &Settings)
    : Record(RecordedExecutions) {
  std::vector<SearcherState *> All;
  for (const SearcherSettings &One : Settings.Searchers) {
    this->Searchers.push_back(
        std::make_unique<SearcherState>(One, this->Record));
    SearcherState &State = *this->Searchers.back();
    All.push_back(&State);
    this->Handlers.push_back(std::make_unique<SearcherHandler>(State));
    this->Servers.push_back(std::make_unique<HttpServer>(
        One.Endpoint, *this->Handlers.back(), State.connections()));
  }
  this->Scaffolding =
      std::make_unique<SearcherControlHandler>(std::move(All), this->Record);
  this->ControlServer = std::make_unique<HttpServer>(
      Settings.ControlEndpoint, *this->Scaffolding, this->ControlConnections);
}

} // namespace acaciacross::standins
