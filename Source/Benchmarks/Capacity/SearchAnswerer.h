#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_SEARCHANSWERER_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_SEARCHANSWERER_H

#include "StandIns/Http/HttpHandler.h"

namespace acaciacross::benchmarks {

/// HTTP handler of a searcher that answers every attempt immediately.
class SearchAnswerer final : public standins::HttpHandler {
public:
  standins::HttpResponse handle(const standins::HttpRequest &Request) override;
};

} // namespace acaciacross::benchmarks

#endif
