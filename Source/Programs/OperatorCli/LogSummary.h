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

/// Counts log lines about requests that were not answered completely and within
/// their target: by outcome, route and reason, by second, and by searcher.
class LogSummary {
public:
  /// Reads the lines of one log. Text before the JSON object of a line is
  /// ignored.
  void read(std::istream &Log);

  bool isEmpty() const;
  std::string text() const;
  std::string json() const;

private:
  /// Outcome, route, reason.
  using OutcomeKey = std::tuple<std::string, std::string, std::string>;

  struct Row {
    std::string Name;
    std::uint64_t Lines = 0;
  };

  void countRequest(const json::JsonNode &Line, const std::string &Outcome);
  void countAttempt(const json::JsonNode &Line);
  std::vector<Row> outcomes() const;
  /// Rows in descending order of their counts, at most as many as fit on one
  /// screen.
  static std::vector<Row>
  largestRows(const std::map<std::string, std::uint64_t> &Counts);

  std::map<OutcomeKey, std::uint64_t> LinesByOutcome;
  std::map<std::string, std::uint64_t> LinesBySecond;
  std::map<std::string, std::uint64_t> LinesBySearcher;
};

} // namespace acaciacross::operatorcli

#endif
