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

constexpr std::size_t MostRows = 8;
constexpr std::uint64_t MsPerSecond = 1'000;

// Parsing every line of a long log would take most of the time.
constexpr std::array<const char *, 6> Names = {
    "RequestRefused",  "RequestFailed",    "RequestPartial",
    "RequestAnswered", "RequestAbandoned", "AttemptEnded"};

bool mayCount(const std::string &Text) {
  return std::ranges::any_of(Names, [&](const char *Each) {
    return Text.find(Each) != std::string::npos;
  });
}

/// Empty for an answer that was whole and in time.
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
  std::string Text;
  while (std::getline(Log, Text)) {
    const std::size_t Begin = Text.find('{');
    if (Begin == std::string::npos || !mayCount(Text))
      continue;
    const JsonNode Line = JsonNode::parse(Text.substr(Begin));
    if (Line["name"].string() == "AttemptEnded")
      this->takeAttempt(Line);
    else if (const auto Outcome = outcomeOf(Line))
      this->takeRequest(Line, *Outcome);
  }
}

void LogSummary::takeRequest(const JsonNode &Line, const std::string &Outcome) {
  ++this->Outcomes[{Outcome, Line["route"].string(), Line["reason"].string()}];
  const auto Second =
      static_cast<std::uint64_t>(Line["time_ms"].number()) / MsPerSecond;
  ++this->BySecond[std::to_string(Second)];
}

void LogSummary::takeAttempt(const JsonNode &Line) {
  ++this->BySearcher[Line["service"].string() + " " +
                     Line["searcher"].string() + " " + Line["end"].string()];
}

bool LogSummary::isEmpty() const { return this->Outcomes.empty(); }

std::vector<LogSummary::Count> LogSummary::outcomes() const {
  std::vector<Count> Rows;
  Rows.reserve(this->Outcomes.size());
  for (const auto &[Key, Lines] : this->Outcomes) {
    const auto &[Outcome, Route, Reason] = Key;
    std::string Name = Outcome;
    Name.append(" ").append(Route).append(" ").append(Reason);
    Rows.push_back({std::move(Name), Lines});
  }
  std::ranges::stable_sort(Rows, std::greater<>(), &Count::Lines);
  return Rows;
}

std::vector<LogSummary::Count>
LogSummary::largest(const std::map<std::string, std::uint64_t> &Counts) {
  std::vector<Count> Rows;
  Rows.reserve(Counts.size());
  for (const auto &[Name, Lines] : Counts)
    Rows.push_back({Name, Lines});
  std::ranges::stable_sort(Rows, std::greater<>(), &Count::Lines);
  Rows.resize(std::min(MostRows, Rows.size()));
  return Rows;
}

std::string LogSummary::text() const {
  std::ostringstream Page;
  const auto Write = [&](const char *Title, const std::vector<Count> &Rows) {
    Page << Title << '\n';
    for (const Count &Each : Rows)
      Page << "  " << Each.Lines << "  " << Each.Name << '\n';
  };
  Write("requests by outcome, route and reason", this->outcomes());
  Write("seconds of the day with most of them (Unix time)",
        largest(this->BySecond));
  Write("attempts of these requests, by service, searcher and end",
        largest(this->BySearcher));
  return Page.str();
}

std::string LogSummary::json() const {
  json::JsonWriter Out;
  Out.beginObject();
  const auto Write = [&](const char *Title, const std::vector<Count> &Rows) {
    Out.key(Title).beginArray();
    for (const Count &Each : Rows)
      Out.beginObject()
          .key("name")
          .string(Each.Name)
          .key("lines")
          .number(Each.Lines)
          .endObject();
    Out.endArray();
  };
  Write("outcomes", this->outcomes());
  Write("seconds", largest(this->BySecond));
  Write("attempts", largest(this->BySearcher));
  Out.endObject();
  return Out.text();
}

} // namespace acaciacross::operatorcli
