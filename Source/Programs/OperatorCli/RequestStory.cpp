#include "Programs/OperatorCli/RequestStory.h"

#include "Json/JsonNode.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace acaciacross::operatorcli {

namespace {

using json::JsonNode;

// In the order in which they are read best; others are not about requests.
constexpr std::array<const char *, 22> Fields = {"vm",
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

std::string shown(const JsonNode &Value) {
  if (const auto Text = Value.asString())
    return *Text;
  if (const auto Whole = Value.asInteger())
    return std::to_string(*Whole);
  if (const auto Flag = Value.asBoolean())
    return *Flag ? "true" : "false";
  std::ostringstream Number;
  Number << Value.number();
  return Number.str();
}

bool isThere(const JsonNode &Value) {
  return Value.asString() || Value.asNumber() || Value.asBoolean();
}

} // namespace

RequestStory::RequestStory(std::string RequestId) : Id(std::move(RequestId)) {}

void RequestStory::read(std::istream &Log) {
  std::string Text;
  while (std::getline(Log, Text)) {
    const std::size_t Begin = Text.find('{');
    // Parsing every line of a long log would take most of the time.
    if (Begin == std::string::npos || Text.find(this->Id) == std::string::npos)
      continue;
    std::string Object = Text.substr(Begin);
    const JsonNode Node = JsonNode::parse(Object);
    if (Node["request"].string() == this->Id)
      this->Lines.push_back({Node["time_ms"].number(), std::move(Object)});
  }
}

bool RequestStory::isEmpty() const { return this->Lines.empty(); }

std::string RequestStory::text() const {
  std::ostringstream Story;
  const std::vector<Line> Ordered = this->sorted();
  for (const Line &Each : Ordered) {
    const JsonNode Node = JsonNode::parse(Each.Object);
    Story << '+' << Each.TimeMs - Ordered.front().TimeMs << " ms "
          << Node["event"].number() << ' ' << Node["name"].string();
    for (const char *Field : Fields)
      if (isThere(Node[Field]))
        Story << ' ' << Field << '=' << shown(Node[Field]);
    Story << '\n';
  }
  return Story.str();
}

std::string RequestStory::json() const {
  std::string List = "[";
  for (const Line &Each : this->sorted()) {
    if (List.size() > 1)
      List += ",";
    List += Each.Object;
  }
  return List + "]";
}

std::vector<RequestStory::Line> RequestStory::sorted() const {
  std::vector<Line> Ordered = this->Lines;
  std::ranges::stable_sort(Ordered, {}, &Line::TimeMs);
  return Ordered;
}

} // namespace acaciacross::operatorcli
