#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERCONTROLHANDLER_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERCONTROLHANDLER_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Searcher/SearcherState.h"

#include <vector>

namespace acaciacross::standins {

/// Handles the calls at the control address of a process, which only tests
/// make.
class SearcherControlHandler final : public HttpHandler {
public:
  SearcherControlHandler(std::vector<SearcherState *> Searchers,
                         const ExecutionLog &Log);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  /// The searcher that the request names; all when it names none.
  std::vector<SearcherState *> findSearchers(const HttpRequest &Request) const;
  HttpResponse setFaults(const HttpRequest &Request);
  HttpResponse counters(const HttpRequest &Request) const;

  std::vector<SearcherState *> Searchers;
  const ExecutionLog &Log;
};

} // namespace acaciacross::standins

#endif
