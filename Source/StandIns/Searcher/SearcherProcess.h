#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERPROCESS_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERPROCESS_H

#include "StandIns/Http/HttpServer.h"
#include "StandIns/Http/UnlimitedConnections.h"
#include "StandIns/Searcher/ProcessSettings.h"
#include "StandIns/Searcher/SearcherControlHandler.h"
#include "StandIns/Searcher/SearcherHandler.h"

#include <memory>
#include <vector>

namespace acaciacross::standins {

/// The servers of all searchers of a process and of its control address.
class SearcherProcess {
public:
  /// Throws common::Error when an address can't be bound.
  explicit SearcherProcess(const ProcessSettings &Settings);

private:
  ExecutionLog Log;
  std::vector<std::unique_ptr<SearcherState>> Searchers;
  std::vector<std::unique_ptr<SearcherHandler>> Handlers;
  std::vector<std::unique_ptr<HttpServer>> Servers;
  UnlimitedConnections ControlConnections;
  std::unique_ptr<SearcherControlHandler> ControlHandler;
  std::unique_ptr<HttpServer> ControlServer;
};

} // namespace acaciacross::standins

#endif
