#include "StandIns/Searcher/SearcherProcess.h"

namespace acaciacross::standins {

namespace {

constexpr std::size_t MaxRecordedExecutions = 500'000;

} // namespace

SearcherProcess::SearcherProcess(const ProcessSettings &Settings)
    : Log(MaxRecordedExecutions) {
  std::vector<SearcherState *> States;
  for (const SearcherSettings &Searcher : Settings.Searchers) {
    this->Searchers.push_back(
        std::make_unique<SearcherState>(Searcher, this->Log));
    SearcherState &State = *this->Searchers.back();
    States.push_back(&State);
    this->Handlers.push_back(std::make_unique<SearcherHandler>(State));
    this->Servers.push_back(std::make_unique<HttpServer>(
        Searcher.ListenAddress, *this->Handlers.back(), State.connections()));
  }
  this->ControlHandler =
      std::make_unique<SearcherControlHandler>(std::move(States), this->Log);
  this->ControlServer = std::make_unique<HttpServer>(
      Settings.ControlAddress, *this->ControlHandler, this->ControlConnections);
}

} // namespace acaciacross::standins
