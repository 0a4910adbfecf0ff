#include "SystemTests/DocumentText.h"

#include "Json/JsonWriter.h"

#include <map>
#include <sstream>

namespace acaciacross::systemtests {

namespace {

constexpr const char *Snapshot = "2026-12-04T06";

void writeRange(std::ostream &Text, std::uint32_t Shard) {
  Text << "id = " << Shard
       << "\nrange_begin = " << Shard * DocumentText::KeysPerShard
       << "\nrange_end = " << (Shard + 1) * DocumentText::KeysPerShard << '\n';
}

void writeClass(std::ostream &Text, const char *Name, const char *Service,
                std::chrono::milliseconds Latency, double ExtraLoad,
                bool IsRepeatable) {
  Text << "\n[class." << Name << "]\nservice = \"" << Service
       << "\"\nlatency_target_ms = " << Latency.count()
       << "\ntarget_percentile = 99.0\ncoverage_target = 0.99"
       << "\nextra_load_target = " << ExtraLoad
       << "\nrepeatable = " << (IsRepeatable ? "true" : "false") << '\n';
}

void writeVm(json::JsonWriter &Json, const std::string &Id, const char *Kind,
             const std::string &Address) {
  const auto Colon = Address.find(':');
  Json.beginObject().key("id").string(Id).key("kind").string(Kind);
  Json.key("host").string(Address.substr(0, Colon));
  Json.key("port").number(std::stoul(Address.substr(Colon + 1)));
  Json.key("state").string("live").endObject();
}

} // namespace

std::string DocumentText::classes(const DeploymentPlan &Plan,
                                  std::chrono::milliseconds LatencyTarget) {
  std::ostringstream Text;
  Text << "[budget]\nmax_entry_vms = " << Plan.MaxEntryVms
       << "\nmax_configuration_calls_per_second = 200\n";
  writeClass(Text, "plots", "crew", LatencyTarget, 0.05, true);
  writeClass(Text, "booking", "weaving", std::chrono::milliseconds(500), 0.0,
             false);
  return Text.str();
}

std::string
DocumentText::service(const DeploymentPlan &Plan, const std::string &Service,
                      const std::vector<SearcherHandle> &Searchers) {
  std::ostringstream Text;
  std::map<std::uint32_t, std::string> Replicas;
  for (const SearcherHandle &Searcher : Searchers) {
    if (Searcher.Service != Service)
      continue;
    Text << "[[searcher]]\nid = \"" << Searcher.Id << "\"\naddress = \""
         << Searcher.Address << "\"\nzone = \"lake-1\"\nslots = " << Plan.Slots
         << "\nmax_connections = " << Plan.MaxConnections << "\n\n";
    std::string &List = Replicas[Searcher.Shard];
    List += (List.empty() ? "\"" : ", \"") + Searcher.Id + '"';
  }
  Text << "[[snapshot]]\nid = \"" << Snapshot << "\"\n";
  for (const auto &[Shard, List] : Replicas) {
    Text << "\n[[snapshot.shard]]\n";
    writeRange(Text, Shard);
    Text << "documents = 1000\nreplicas = [" << List << "]\n";
  }
  return Text.str();
}

std::string DocumentText::searcherSettings(const DeploymentPlan &Plan,
                                           const SearcherHandle &Searcher) {
  std::ostringstream Text;
  Text << "[process]\ncontrol = \"" << Searcher.ControlAddress
       << "\"\n\n[[searcher]]\nid = \"" << Searcher.Id << "\"\naddress = \""
       << Searcher.Address << "\"\nslots = " << Plan.Slots
       << "\nmax_connections = " << Plan.MaxConnections
       << "\nconnect_cost_ms = 1\nqueue_length = 50\n"
       << "\n[searcher.service_time]\nkind = \"fixed\"\nmedian_ms = "
       << Plan.ServiceTime.count() << ".0\n\n[[searcher.snapshot]]\nid = \""
       << Snapshot << "\"\n\n[[searcher.snapshot.shard]]\n";
  writeRange(Text, Searcher.Shard);
  return Text.str();
}

std::string DocumentText::entrySettings(const EntryVm &Vm,
                                        std::size_t FailureDomain,
                                        const std::string &Configuration,
                                        const std::string &VmList) {
  std::ostringstream Text;
  Text << "[vm]\nid = \"" << Vm.Id
       << "\"\nzone = \"lake-1\"\nfailure_domain = \"rack-" << FailureDomain
       << "\"\n\n[listen]\ncallers = \"" << Vm.CallerAddress << "\"\npeers = \""
       << Vm.PeerAddress << "\"\n\n[platform]\nconfiguration = \""
       << Configuration << "\"\nvm_list = \"" << VmList
       << "\"\n\n[peers]\nseeds = []\n";
  return Text.str();
}

std::string DocumentText::vmList(const std::vector<EntryVm> &Vms,
                                 const std::vector<SearcherHandle> &Searchers) {
  json::JsonWriter Json;
  Json.beginObject().key("vms").beginArray();
  for (const EntryVm &Vm : Vms)
    writeVm(Json, Vm.Id, "entry", Vm.PeerAddress);
  for (const SearcherHandle &Searcher : Searchers)
    writeVm(Json, Searcher.Id, "upstream", Searcher.Address);
  Json.endArray().endObject();
  return Json.text();
}

} // namespace acaciacross::systemtests
