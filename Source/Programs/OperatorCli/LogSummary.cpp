#include "Programs/OperatorCli/LogSummary.h"

#include "Json/JsonWriter.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <sstream>
#include <utility>

namespace acaciacross::operatorcli {

namespace {

using json::JsonNode;

constexpr std::size_t MaxRows = 8;
constexpr std::uint64_t MsPerSecond = 1'000;

// Only lines that contain one of these names are parsed, because parsing every
// line of a long log would take most of the time.
constexpr std::array<const char *, 6> CountedEvents = {
    "RequestRefused",  "RequestFailed",    "RequestPartial",
    "RequestAnswered", "RequestAbandoned", "AttemptEnded"};

bool mentionsCountedEvent(const std::string &RawLine) {
  return std::ranges::any_of(CountedEvents, [&](const char *Event) {
    return RawLine.find(Event) != std::string::npos;
  });
}

/// Empty for a complete answer within its target, and for other events.
std::optional<std::string> outcomeOf(const JsonNode &Line) {
  const std::string Name = Line["name"].string();
  if (Name == "RequestRefused")
    return "refused";
  if (Name == "RequestFailed")
    return "failed";
  if (Name == "RequestPartial")
    return "partial";
  if (Name == "RequestAbandoned")
    return "abandoned";
  if (Name == "RequestAnswered" &&
      Line["waited_ms"].number() > Line["target_ms"].number())
    return "late";
  return std::nullopt;
}

} // namespace

void LogSummary::read(std::istream &Log) {
  std::string RawLine;
  while (std::getline(Log, RawLine)) {
    const std::size_t ObjectBegin = RawLine.find('{');
    if (ObjectBegin == std::string::npos || !mentionsCountedEvent(RawLine))
      continue;
    const JsonNode Line = JsonNode::parse(RawLine.substr(ObjectBegin));
    if (Line["name"].string() == "AttemptEnded")
      this->countAttempt(Line);
    else if (const auto Outcome = outcomeOf(Line))
      this->countRequest(Line, *Outcome);
  }
}

void LogSummary::countRequest(const JsonNode &Line,
                              const std::string &Outcome) {
  ++this->LinesByOutcome[{Outcome, Line["route"].string(),
                          Line["reason"].string()}];
  const auto Second =
      static_cast<std::uint64_t>(Line["time_ms"].number()) / MsPerSecond;
  ++this->LinesBySecond[std::to_string(Second)];
}

void LogSummary::countAttempt(const JsonNode &Line) {
  ++this->LinesBySearcher[Line["service"].string() + " " +
                          Line["searcher"].string() + " " +
                          Line["end"].string()];
}

bool LogSummary::isEmpty() const { return this->LinesByOutcome.empty(); }

std::vector<LogSummary::Row> LogSummary::outcomes() const {
  std::vector<Row> Rows;
  Rows.reserve(this->LinesByOutcome.size());
  for (const auto &[Key, Lines] : this->LinesByOutcome) {
    const auto &[Outcome, Route, Reason] = Key;
    std::string Name = Outcome;
    Name.append(" ").append(Route).append(" ").append(Reason);
    Rows.push_back({std::move(Name), Lines});
  }
  std::ranges::stable_sort(Rows, std::greater<>(), &Row::Lines);
  return Rows;
}

std::vector<LogSummary::Row>
LogSummary::largestRows(const std::map<std::string, std::uint64_t> &Counts) {
  std::vector<Row> Rows;
  Rows.reserve(Counts.size());
  for (const auto &[Name, Lines] : Counts)
    Rows.push_back({Name, Lines});
  std::ranges::stable_sort(Rows, std::greater<>(), &Row::Lines);
  Rows.resize(std::min(MaxRows, Rows.size()));
  return Rows;
}

std::string LogSummary::text() const {
  std::ostringstream Out;
  const auto Write = [&](const char *Title, const std::vector<Row> &Rows) {
    Out << Title << '\n';
    for (const Row &Entry : Rows)
      Out << "  " << Entry.Lines << "  " << Entry.Name << '\n';
  };
  Write("requests by outcome, route and reason", this->outcomes());
  Write("seconds of the day with most of them (Unix time)",
        largestRows(this->LinesBySecond));
  Write("attempts of these requests, by service, searcher and end",
        largestRows(this->LinesBySearcher));
  return Out.str();
}

std::string LogSummary::json() const {
  json::JsonWriter Json;
  Json.beginObject();
  const auto Write = [&](const char *Title, const std::vector<Row> &Rows) {
    Json.key(Title).beginArray();
    for (const Row &Entry : Rows)
      Json.beginObject()
          .key("name")
          .string(Entry.Name)
          .key("lines")
          .number(Entry.Lines)
          .endObject();
    Json.endArray();
  };
  Write("outcomes", this->outcomes());
  Write("seconds", largestRows(this->LinesBySecond));
  Write("attempts", largestRows(this->LinesBySearcher));
  Json.endObject();
  return Json.text();
}

} // namespace acaciacross::operatorcli
