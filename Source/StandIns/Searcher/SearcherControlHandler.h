#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERCONTROLHANDLER_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERCONTROLHANDLER_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Searcher/SearcherState.h"

#include <vector>

namespace acaciacross::standins {

/// The calls at the control address of a process, for tests only.
class SearcherControlHandler final : public HttpHandler {
public:
  SearcherControlHandler(std::vector<SearcherState *> Searchers,
                         const ExecutionRecord &Record);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  /// That which the request names, or all.
  std::vector<SearcherState *> named(const HttpRequest &Request) const;
  HttpResponse setFaults(const HttpRequest &Request);
  HttpResponse counters(const HttpRequest &Request) const;

  std::vector<SearcherState *> Searchers;
  const ExecutionRecord &Record;
};

} // namespace acaciacross::standins

#endif
