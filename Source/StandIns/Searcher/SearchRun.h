#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHRUN_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHRUN_H

#include "StandIns/Http/HttpResponse.h"
#include "StandIns/Searcher/SearchCall.h"
#include "StandIns/Searcher/SearcherState.h"

namespace acaciacross::standins {

/// One search from its arrival to its reply.
class SearchRun {
public:
  /// Body is echoed in the reply.
  SearchRun(SearcherState &Searcher, SearchCall Call, const PeerWait &Peer,
            const std::string &Body);

  HttpResponse run();

private:
  /// Reply of a search that must not start; empty when it may.
  std::optional<HttpResponse> refusal() const;
  HttpResponse runWithSlot();
  /// False when the caller closed the connection.
  bool work();
  HttpResponse reply() const;
  common::MonotonicTime monotonicDeadline() const;

  SearcherState &Searcher;
  SearchCall Call;
  PeerWait Peer;
  const std::string &Body;
};

} // namespace acaciacross::standins

#endif
