#include "Programs/OperatorCli/PageTables.h"

#include "Programs/OperatorCli/TextTable.h"

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdio>
#include <sstream>

namespace acaciacross::operatorcli {

namespace {

/// Reads a member that may be absent; Value then keeps its default.
template <typename Archive, typename T>
void readOptional(Archive &Ar, const char *Name, T &Value) {
  try {
    Ar(cereal::make_nvp(Name, Value));
  } catch (const cereal::Exception &) {
    Value = T();
  }
}

struct Target {
  double LatencyMs = 0;
  double Coverage = 0;
  double ExtraLoad = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("latency_ms", this->LatencyMs),
       cereal::make_nvp("coverage", this->Coverage),
       cereal::make_nvp("extra_load", this->ExtraLoad));
  }
};

struct Achieved {
  std::uint64_t Answers = 0;
  double LatencyMs = 0;
  double Coverage = 0;
  double ExtraLoad = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("answers", this->Answers));
    readOptional(Ar, "latency_ms", this->LatencyMs);
    readOptional(Ar, "coverage", this->Coverage);
    Ar(cereal::make_nvp("extra_load", this->ExtraLoad));
  }
};

struct ClassEntry {
  std::string Name;
  std::string Service;
  Target Wanted;
  Achieved Reached;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("name", this->Name),
       cereal::make_nvp("service", this->Service),
       cereal::make_nvp("target", this->Wanted));
    readOptional(Ar, "achieved", this->Reached);
  }
};

struct SearcherEntry {
  std::string Id;
  std::string Address;
  std::string State;
  double Share = 0;
  std::uint64_t Quota = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("id", this->Id),
       cereal::make_nvp("address", this->Address),
       cereal::make_nvp("state", this->State),
       cereal::make_nvp("share", this->Share),
       cereal::make_nvp("connection_quota", this->Quota));
  }
};

struct ServiceEntry {
  std::string Name;
  std::vector<SearcherEntry> Searchers;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("name", this->Name),
       cereal::make_nvp("searchers", this->Searchers));
  }
};

struct FleetEntry {
  std::string Vm;
  std::string Address;
  std::string Domain;
  double AgeMs = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("vm", this->Vm),
       cereal::make_nvp("address", this->Address),
       cereal::make_nvp("failure_domain", this->Domain));
    readOptional(Ar, "evidence_age_ms", this->AgeMs);
  }
};

struct StatusBody {
  std::string Vm;
  std::string State;
  std::uint64_t Revision = 0;
  double ViewAgeMs = 0;
  std::vector<ClassEntry> Classes;
  std::vector<ServiceEntry> Services;
  std::vector<FleetEntry> Fleet;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("vm", this->Vm), cereal::make_nvp("state", this->State),
       cereal::make_nvp("revision", this->Revision),
       cereal::make_nvp("view_age_ms", this->ViewAgeMs),
       cereal::make_nvp("classes", this->Classes),
       cereal::make_nvp("services", this->Services),
       cereal::make_nvp("fleet", this->Fleet));
  }
};

struct AuditItem {
  std::uint64_t Sequence = 0;
  std::uint64_t AtUnixMs = 0;
  std::string Cause;
  std::string Subject;
  std::string Text;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("sequence", this->Sequence),
       cereal::make_nvp("at_unix_ms", this->AtUnixMs),
       cereal::make_nvp("cause", this->Cause),
       cereal::make_nvp("subject", this->Subject),
       cereal::make_nvp("text", this->Text));
  }
};

struct AuditBody {
  std::vector<AuditItem> Entries;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("entries", this->Entries));
  }
};

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

std::string reached(const Achieved &From, double Value) {
  return From.Answers == 0 ? "-" : number(Value);
}

} // namespace

std::optional<std::string> PageTables::classes(const std::string &Status) {
  const auto Body = decode<StatusBody>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table({"class", "service", "latency ms", "target", "coverage",
                   "target", "extra load", "target", "answers"});
  for (const ClassEntry &Each : Body->Classes) {
    const Achieved &Got = Each.Reached;
    Table.add({Each.Name, Each.Service, reached(Got, Got.LatencyMs),
               number(Each.Wanted.LatencyMs), reached(Got, Got.Coverage),
               number(Each.Wanted.Coverage), number(Got.ExtraLoad),
               number(Each.Wanted.ExtraLoad), std::to_string(Got.Answers)});
  }
  return Table.text();
}

std::optional<std::string> PageTables::fleet(const std::string &Status) {
  const auto Body = decode<StatusBody>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table({"vm", "callers", "failure domain", "evidence age ms"});
  for (const FleetEntry &Each : Body->Fleet)
    Table.add({Each.Vm, Each.Address, Each.Domain, number(Each.AgeMs)});
  return Table.text();
}

std::optional<std::string> PageTables::upstreams(const std::string &Status) {
  const auto Body = decode<StatusBody>(Status);
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
  const auto Body = decode<StatusBody>(Status);
  if (!Body)
    return std::nullopt;
  TextTable Table({"vm", "state", "revision", "view age ms"});
  Table.add({Body->Vm, Body->State, std::to_string(Body->Revision),
             number(Body->ViewAgeMs)});
  return Table.text();
}

std::optional<std::string> PageTables::audit(const std::string &Trail) {
  const auto Body = decode<AuditBody>(Trail);
  if (!Body)
    return std::nullopt;
  TextTable Table({"sequence", "unix ms", "cause", "subject", "text"});
  for (const AuditItem &Each : Body->Entries)
    Table.add({std::to_string(Each.Sequence), std::to_string(Each.AtUnixMs),
               Each.Cause, Each.Subject, Each.Text});
  return Table.text();
}

} // namespace acaciacross::operatorcli
