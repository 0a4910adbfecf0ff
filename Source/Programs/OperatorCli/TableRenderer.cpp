#include "Programs/OperatorCli/TableRenderer.h"

#include "Programs/OperatorCli/AuditDocument.h"
#include "Programs/OperatorCli/StatusDocument.h"
#include "Programs/OperatorCli/TextTable.h"

#include <cereal/archives/json.hpp>

#include <cstdio>
#include <sstream>

namespace acaciacross::operatorcli {

namespace {

template <typename T> std::optional<T> decode(const std::string &Text) {
  try {
    std::istringstream Stream(Text);
    cereal::JSONInputArchive Archive(Stream);
    T Value;
    Value.serialize(Archive);
    return Value;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string formatNumber(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3g", Value);
  return Text;
}

std::string formatAchieved(const ClassResults &Achieved, double Value) {
  return Achieved.Answers == 0 ? "-" : formatNumber(Value);
}

} // namespace

std::optional<std::string>
TableRenderer::classes(const std::string &StatusJson) {
  const auto Document = decode<StatusDocument>(StatusJson);
  if (!Document)
    return std::nullopt;
  TextTable Table({"class", "service", "latency ms", "target", "coverage",
                   "target", "extra load", "target", "answers"});
  for (const ClassEntry &Class : Document->Classes) {
    const ClassResults &Achieved = Class.Achieved;
    Table.addRow({Class.Name, Class.Service,
                  formatAchieved(Achieved, Achieved.LatencyMs),
                  formatNumber(Class.Target.LatencyMs),
                  formatAchieved(Achieved, Achieved.Coverage),
                  formatNumber(Class.Target.Coverage),
                  formatNumber(Achieved.ExtraLoad),
                  formatNumber(Class.Target.ExtraLoad),
                  std::to_string(Achieved.Answers)});
  }
  return Table.text();
}

std::optional<std::string> TableRenderer::fleet(const std::string &StatusJson) {
  const auto Document = decode<StatusDocument>(StatusJson);
  if (!Document)
    return std::nullopt;
  TextTable Table({"vm", "callers", "failure domain", "evidence age ms"});
  for (const FleetEntry &Vm : Document->Fleet)
    Table.addRow(
        {Vm.Vm, Vm.Address, Vm.FailureDomain, formatNumber(Vm.EvidenceAgeMs)});
  return Table.text();
}

std::optional<std::string>
TableRenderer::upstreams(const std::string &StatusJson) {
  const auto Document = decode<StatusDocument>(StatusJson);
  if (!Document)
    return std::nullopt;
  TextTable Table(
      {"service", "searcher", "address", "state", "share", "connections"});
  for (const ServiceEntry &Service : Document->Services)
    for (const SearcherEntry &Searcher : Service.Searchers)
      Table.addRow({Service.Name, Searcher.Id, Searcher.Address, Searcher.State,
                    formatNumber(Searcher.Share),
                    std::to_string(Searcher.ConnectionQuota)});
  return Table.text();
}

std::optional<std::string>
TableRenderer::config(const std::string &StatusJson) {
  const auto Document = decode<StatusDocument>(StatusJson);
  if (!Document)
    return std::nullopt;
  TextTable Table({"vm", "state", "revision", "view age ms"});
  Table.addRow({Document->Vm, Document->State,
                std::to_string(Document->Revision),
                formatNumber(Document->ViewAgeMs)});
  return Table.text();
}

std::optional<std::string> TableRenderer::audit(const std::string &AuditJson) {
  const auto Document = decode<AuditDocument>(AuditJson);
  if (!Document)
    return std::nullopt;
  TextTable Table({"sequence", "unix ms", "cause", "subject", "text"});
  for (const AuditItem &Entry : Document->Entries)
    Table.addRow({std::to_string(Entry.Sequence),
                  std::to_string(Entry.AtUnixMs), Entry.Cause, Entry.Subject,
                  Entry.Text});
  return Table.text();
}

} // namespace acaciacross::operatorcli
