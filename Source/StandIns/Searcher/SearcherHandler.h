#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERHANDLER_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERHANDLER_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Searcher/SearcherState.h"

namespace acaciacross::standins {

/// Handles the calls at the address of a searcher.
class SearcherHandler final : public HttpHandler {
public:
  explicit SearcherHandler(SearcherState &Searcher);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  HttpResponse dispatch(const HttpRequest &Request);
  HttpResponse loadPage();

  SearcherState &Searcher;
};

} // namespace acaciacross::standins

#endif
