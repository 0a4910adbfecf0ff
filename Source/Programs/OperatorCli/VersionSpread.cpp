#include "Programs/OperatorCli/VersionSpread.h"

#include "Json/JsonWriter.h"

#include "Programs/OperatorCli/TextTable.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace acaciacross::operatorcli {

namespace {

using json::JsonNode;

// Only lines that contain one of these names are parsed.
constexpr std::array<const char *, 5> UsedEvents = {
    "StoreAnswered", "ConfigurationPulled", "ConfigurationAccepted",
    "TableInUse", "TableReleased"};

std::string formatMs(double Milliseconds) {
  return std::to_string(std::llround(Milliseconds));
}

std::string formatMs(const std::optional<double> &Milliseconds) {
  return Milliseconds ? formatMs(*Milliseconds) : "-";
}

} // namespace

void VersionSpread::read(std::istream &Log) {
  std::string RawLine;
  while (std::getline(Log, RawLine)) {
    const std::size_t ObjectBegin = RawLine.find('{');
    const bool IsUsed = std::ranges::any_of(UsedEvents, [&](const char *Name) {
      return RawLine.find(Name) != std::string::npos;
    });
    if (ObjectBegin != std::string::npos && IsUsed)
      this->apply(JsonNode::parse(RawLine.substr(ObjectBegin)));
  }
}

void VersionSpread::apply(const JsonNode &Line) {
  const std::string Name = Line["name"].string();
  const std::string Vm = Line["vm"].string();
  const std::int64_t Version = Line["version"].asInteger().value_or(0);
  if (Name == "StoreAnswered" || Name == "ConfigurationPulled") {
    Arrival &Last = this->LastReceived[Vm];
    Last = {};
    Last.Vm = Vm;
    Last.Source =
        Name == "StoreAnswered" ? Line["call"].string() : Line["from"].string();
    Last.WaitedMs = Line["waited_ms"].number();
    Last.TookMs = Line["took_ms"].number();
    Last.QueuedMs = Line["queued_ms"].number();
    return;
  }
  if (Name == "ConfigurationAccepted") {
    Arrival Accepted = this->LastReceived[Vm];
    Accepted.Vm = Vm;
    Accepted.AcceptedAtMs = Line["time_ms"].number();
    this->Versions[Version].push_back(std::move(Accepted));
    return;
  }
  Arrival *Found = this->find(Vm, Version);
  if (Found == nullptr)
    return;
  if (Name == "TableInUse")
    Found->HandoverMs = Line["queued_ms"].number();
  else if (Name == "TableReleased")
    Found->HeldMs = Line["held_ms"].number();
}

VersionSpread::Arrival *VersionSpread::find(const std::string &Vm,
                                            std::int64_t Version) {
  const auto It = this->Versions.find(Version);
  if (It == this->Versions.end())
    return nullptr;
  for (auto Entry = It->second.rbegin(); Entry != It->second.rend(); ++Entry)
    if (Entry->Vm == Vm)
      return &*Entry;
  return nullptr;
}

bool VersionSpread::isEmpty() const { return this->Versions.empty(); }

std::string VersionSpread::text() const {
  TextTable Table({"version", "accepted_ms", "vm", "source", "waited_ms",
                   "took_ms", "queued_ms", "handover_ms", "held_ms"});
  for (const auto &[Version, Unordered] : this->Versions) {
    const std::vector<Arrival> Ordered = this->sorted(Version);
    for (const Arrival &Entry : Ordered)
      Table.addRow(
          {std::to_string(Version),
           "+" + formatMs(Entry.AcceptedAtMs - Ordered.front().AcceptedAtMs),
           Entry.Vm, Entry.Source, formatMs(Entry.WaitedMs),
           formatMs(Entry.TookMs), formatMs(Entry.QueuedMs),
           formatMs(Entry.HandoverMs), formatMs(Entry.HeldMs)});
  }
  return Table.text();
}

std::string VersionSpread::json() const {
  json::JsonWriter Out;
  Out.beginArray();
  const auto WriteOptional = [&Out](const char *Key,
                                    const std::optional<double> &Value) {
    if (Value)
      Out.key(Key).real(*Value);
  };
  for (const auto &[Version, Unordered] : this->Versions) {
    for (const Arrival &Entry : this->sorted(Version)) {
      Out.beginObject();
      Out.key("version").number(static_cast<std::uint64_t>(Version));
      Out.key("time_ms").real(Entry.AcceptedAtMs);
      Out.key("vm").string(Entry.Vm);
      Out.key("source").string(Entry.Source);
      Out.key("waited_ms").real(Entry.WaitedMs);
      Out.key("took_ms").real(Entry.TookMs);
      Out.key("queued_ms").real(Entry.QueuedMs);
      WriteOptional("handover_ms", Entry.HandoverMs);
      WriteOptional("held_ms", Entry.HeldMs);
      Out.endObject();
    }
  }
  return Out.endArray().text();
}

std::vector<VersionSpread::Arrival>
VersionSpread::sorted(std::int64_t Version) const {
  std::vector<Arrival> Ordered = this->Versions.at(Version);
  std::ranges::stable_sort(Ordered, {}, &Arrival::AcceptedAtMs);
  return Ordered;
}

} // namespace acaciacross::operatorcli
