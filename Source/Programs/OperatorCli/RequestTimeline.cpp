#include "Programs/OperatorCli/RequestTimeline.h"

#include "Json/JsonNode.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace acaciacross::operatorcli {

namespace {

using json::JsonNode;

// In the order of output. Other fields say nothing about requests.
constexpr std::array<const char *, 22> ShownFields = {"vm",
                                                      "route",
                                                      "version",
                                                      "status",
                                                      "result",
                                                      "reason",
                                                      "missing",
                                                      "target_ms",
                                                      "limit_ms",
                                                      "waited_ms",
                                                      "waited_before_ms",
                                                      "expected_ms",
                                                      "allowed_ms",
                                                      "retry_after_ms",
                                                      "attempts",
                                                      "service",
                                                      "searcher",
                                                      "end",
                                                      "abandoned",
                                                      "took_ms",
                                                      "kind",
                                                      "searchers"};

std::string formatValue(const JsonNode &Value) {
  if (const auto Text = Value.asString())
    return *Text;
  if (const auto Integer = Value.asInteger())
    return std::to_string(*Integer);
  if (const auto Flag = Value.asBoolean())
    return *Flag ? "true" : "false";
  std::ostringstream Number;
  Number << Value.number();
  return Number.str();
}

bool isPresent(const JsonNode &Value) {
  return Value.asString() || Value.asNumber() || Value.asBoolean();
}

} // namespace

RequestTimeline::RequestTimeline(std::string RequestId)
    : Id(std::move(RequestId)) {}

void RequestTimeline::read(std::istream &Log) {
  std::string Text;
  while (std::getline(Log, Text)) {
    const std::size_t Begin = Text.find('{');
    // Lines without the id are not parsed, because parsing every line of a long
    // log would take most of the time.
    if (Begin == std::string::npos || Text.find(this->Id) == std::string::npos)
      continue;
    std::string Object = Text.substr(Begin);
    const JsonNode Node = JsonNode::parse(Object);
    if (Node["request"].string() == this->Id)
      this->Lines.push_back({Node["time_ms"].number(), std::move(Object)});
  }
}

bool RequestTimeline::isEmpty() const { return this->Lines.empty(); }

std::string RequestTimeline::text() const {
  std::ostringstream Out;
  const std::vector<Line> Ordered = this->sorted();
  for (const Line &Entry : Ordered) {
    const JsonNode Node = JsonNode::parse(Entry.Object);
    Out << '+' << Entry.TimeMs - Ordered.front().TimeMs << " ms "
        << Node["event"].number() << ' ' << Node["name"].string();
    for (const char *Field : ShownFields)
      if (isPresent(Node[Field]))
        Out << ' ' << Field << '=' << formatValue(Node[Field]);
    Out << '\n';
  }
  return Out.str();
}

std::string RequestTimeline::json() const {
  std::string List = "[";
  for (const Line &Entry : this->sorted()) {
    if (List.size() > 1)
      List += ",";
    List += Entry.Object;
  }
  return List + "]";
}

std::vector<RequestTimeline::Line> RequestTimeline::sorted() const {
  std::vector<Line> Ordered = this->Lines;
  std::ranges::stable_sort(Ordered, {}, &Line::TimeMs);
  return Ordered;
}

} // namespace acaciacross::operatorcli
