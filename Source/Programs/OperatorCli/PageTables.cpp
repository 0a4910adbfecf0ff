#include "Programs/OperatorCli/PageTables.h"

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

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3g", Value);
  return Text;
}

std::string reached(const ClassAchieved &From, double Value) {
  return From.Answers == 0 ? "-" : number(Value);
}

} // namespace

std::optional<std::string> PageTables::classes(const std::string &Status) {
  const auto Body = decode<StatusDocument>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table({"class", "service", "latency ms", "target", "coverage",
                   "target", "extra load", "target", "answers"});
  for (const ClassEntry &Each : Body->Classes) {
    const ClassAchieved &Got = Each.Reached;
    Table.add({Each.Name, Each.Service, reached(Got, Got.LatencyMs),
               number(Each.Wanted.LatencyMs), reached(Got, Got.Coverage),
               number(Each.Wanted.Coverage), number(Got.ExtraLoad),
               number(Each.Wanted.ExtraLoad), std::to_string(Got.Answers)});
  }
  return Table.text();
}

std::optional<std::string> PageTables::fleet(const std::string &Status) {
  const auto Body = decode<StatusDocument>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table({"vm", "callers", "failure domain", "evidence age ms"});
  for (const FleetEntry &Each : Body->Fleet)
    Table.add({Each.Vm, Each.Address, Each.Domain, number(Each.AgeMs)});
  return Table.text();
}

std::optional<std::string> PageTables::upstreams(const std::string &Status) {
  const auto Body = decode<StatusDocument>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table(
      {"service", "searcher", "address", "state", "share", "connections"});
  for (const ServiceEntry &Service : Body->Services)
    for (const SearcherEntry &Each : Service.Searchers)
      Table.add({Service.Name, Each.Id, Each.Address, Each.State,
                 number(Each.Share), std::to_string(Each.Quota)});
  return Table.text();
}

std::optional<std::string> PageTables::config(const std::string &Status) {
  const auto Body = decode<StatusDocument>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table({"vm", "state", "revision", "view age ms"});
  Table.add({Body->Vm, Body->State, std::to_string(Body->Revision),
             number(Body->ViewAgeMs)});
  return Table.text();
}

std::optional<std::string> PageTables::audit(const std::string &Trail) {
  const auto Body = decode<AuditDocument>(Trail);
  if (!Body)
    return std::nullopt;
  TextTable Table({"sequence", "unix ms", "cause", "subject", "text"});
  for (const AuditItem &Each : Body->Entries)
    Table.add({std::to_string(Each.Sequence), std::to_string(Each.AtUnixMs),
               Each.Cause, Each.Subject, Each.Text});
  return Table.text();
}

} // namespace acaciacross::operatorcli
