#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_LOGSUMMARY_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_LOGSUMMARY_H

#include "Json/JsonNode.h"

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace acaciacross::operatorcli {

/// Counts what the logs of VMs say of requests that were not answered whole and
/// in time: by route and reason, by second, and by searcher.
class LogSummary {
public:
  /// Takes the lines of one log; text before the JSON object is passed over.
  void read(std::istream &Log);

  bool isEmpty() const;
  std::string text() const;
  std::string json() const;

private:
  /// Outcome, route, reason.
  using Group = std::tuple<std::string, std::string, std::string>;

  struct Count {
    std::string Name;
    std::uint64_t Lines = 0;
  };

  void takeRequest(const json::JsonNode &Line, const std::string &Outcome);
  void takeAttempt(const json::JsonNode &Line);
  std::vector<Count> outcomes() const;
  /// The largest counts first, at most as many as one screen shows.
  static std::vector<Count>
  largest(const std::map<std::string, std::uint64_t> &Counts);

  std::map<Group, std::uint64_t> Outcomes;
  std::map<std::string, std::uint64_t> BySecond;
  std::map<std::string, std::uint64_t> BySearcher;
};

} // namespace acaciacross::operatorcli

#endif
