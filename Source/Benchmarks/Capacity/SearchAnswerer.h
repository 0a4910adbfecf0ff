#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_SEARCHANSWERER_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_SEARCHANSWERER_H

#include "StandIns/Http/HttpHandler.h"

namespace acaciacross::benchmarks {

/// Answers every attempt at once.
class SearchAnswerer final : public standins::HttpHandler {
public:
  standins::HttpResponse handle(const standins::HttpRequest &Request) override;
};

} // namespace acaciacross::benchmarks

#endif
