#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERCODEC_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERCODEC_H

#include "StandIns/Searcher/Execution.h"
#include "StandIns/Searcher/HealthPage.h"
#include "StandIns/Searcher/LoadPage.h"
#include "StandIns/Searcher/SearchReply.h"
#include "StandIns/Searcher/SearcherCounters.h"

#include <vector>

namespace acaciacross::standins {

/// Encodes the JSON of the searchers' protocol and of the control address.
class SearcherCodec {
public:
  static std::string encode(const SearchReply &Reply);
  static std::string encode(const HealthPage &Page);
  static std::string encode(const LoadPage &Page);
  static std::string encode(const std::vector<Execution> &Executions);
  static std::string encode(const std::vector<SearcherCounters> &Counters);
};

} // namespace acaciacross::standins

#endif
