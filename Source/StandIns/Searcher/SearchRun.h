#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHRUN_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHRUN_H

#include "StandIns/Http/HttpResponse.h"
#include "StandIns/Searcher/SearchRequest.h"
#include "StandIns/Searcher/SearcherState.h"

namespace acaciacross::standins {

/// Runs one search from its arrival to its reply.
class SearchRun {
public:
  /// Body is echoed in the reply.
  SearchRun(SearcherState &Searcher, SearchRequest Request,
            const ConnectionWait &Wait, const std::string &Body);

  HttpResponse run();

private:
  /// Reply when the search is refused before it waits for a slot; else empty.
  std::optional<HttpResponse> refusalReply() const;
  HttpResponse runWithSlot();
  /// Keeps the slot for the service time. False when the caller closed the
  /// connection in the meantime.
  bool simulateWork();
  HttpResponse reply() const;
  common::MonotonicTime monotonicDeadline() const;

  SearcherState &Searcher;
  SearchRequest Request;
  ConnectionWait Wait;
  const std::string &Body;
};

} // namespace acaciacross::standins

#endif
