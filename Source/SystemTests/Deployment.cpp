#include "SystemTests/Deployment.h"

#include "SystemTests/DocumentText.h"
#include "SystemTests/HttpCaller.h"
#include "SystemTests/RecordReader.h"
#include "SystemTests/Waiting.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace acaciacross::systemtests {

namespace {

constexpr std::chrono::seconds StartTime{15};

// Handles to entry VMs stay valid while VMs are added.
constexpr std::size_t MostEntryVms = 32;

std::unique_ptr<ProcessHandle> start(const std::string &Program,
                                     const std::vector<std::string> &Arguments,
                                     const std::string &LogFile) {
  return std::make_unique<ProcessHandle>(ACACIACROSS_PROGRAMS_DIR "/" + Program,
                                         Arguments, LogFile);
}

void waitForPage(const std::string &Target) {
  if (!waitUntil(StartTime, [&Target] {
        return HttpCaller::call("GET", Target).Status == 200;
      }))
    throw std::runtime_error("not ready: " + Target);
}

void require(const HttpReply &Reply, const std::string &What) {
  if (Reply.Status != 200)
    throw std::runtime_error("the platform did not take " + What);
}

} // namespace

Deployment::Deployment(const DeploymentPlan &Plan, const std::string &Name)
    : Plan(Plan), Folder(ACACIACROSS_RUN_DIR "/" + Name),
      PlatformAddress(this->Ports.next()), DeadAddress(this->Ports.next()) {
  std::filesystem::remove_all(this->Folder);
  std::filesystem::create_directories(this->Folder + "/documents");
  this->addSearchers("crew", Plan.CrewShards, Plan.CrewReplicas);
  this->addSearchers("weaving", 1, Plan.WeavingReplicas);
  this->startPlatform();
  for (const SearcherHandle &Each : this->Searchers)
    waitForPage(Each.Control + "/control/counters");
  this->Vms.reserve(MostEntryVms);
  while (this->Vms.size() < Plan.EntryVms)
    this->addVm();
  std::vector<const EntryVm *> All;
  for (const EntryVm &Vm : this->Vms)
    All.push_back(&Vm);
  if (!waitUntil(StartTime, [&All] { return knowEachOther(All); }))
    throw std::runtime_error("the entry VMs do not serve");
}

const DeploymentPlan &Deployment::plan() const { return this->Plan; }
std::vector<EntryVm> &Deployment::vms() { return this->Vms; }
std::vector<SearcherHandle> &Deployment::searchers() { return this->Searchers; }

std::vector<SearcherHandle *> Deployment::replicas(const std::string &Service,
                                                   std::uint32_t Shard) {
  std::vector<SearcherHandle *> Found;
  for (SearcherHandle &Each : this->Searchers)
    if (Each.Service == Service && Each.Shard == Shard)
      Found.push_back(&Each);
  return Found;
}

EntryVm &Deployment::addVm() {
  if (this->Vms.size() >= MostEntryVms)
    throw std::runtime_error("too many entry VMs");
  EntryVm &Vm = this->Vms.emplace_back();
  const std::size_t Number = this->Vms.size();
  Vm.Id = "entry-" + std::to_string(Number);
  Vm.Callers = this->Ports.next();
  Vm.Peers = this->Ports.next();
  Vm.LogFile = this->Folder + '/' + Vm.Id + ".log";
  const bool Reaches = Number == 1 || !this->Plan.OnlyFirstReachesConfiguration;
  Vm.SettingsFile = this->write(
      Vm.Id + ".toml",
      DocumentText::entrySettings(
          Vm, Number, Reaches ? this->PlatformAddress : this->DeadAddress,
          this->PlatformAddress));
  this->publishVmList();
  Vm.start();
  return Vm;
}

// An address answer names only a few VMs, so the status page is read.
bool Deployment::knowEachOther(const std::vector<const EntryVm *> &Vms) {
  std::set<std::string> All;
  for (const EntryVm *Vm : Vms)
    All.insert(Vm->Callers);
  for (const EntryVm *Vm : Vms)
    if (Vm->fleet() != All)
      return false;
  return true;
}

std::vector<RecordedExecution>
Deployment::record(const std::string &RequestId) const {
  std::vector<RecordedExecution> All;
  for (const SearcherHandle &Each : this->Searchers) {
    if (!Each.Process)
      continue;
    const auto Found = RecordReader::read(Each, RequestId);
    All.insert(All.end(), Found.begin(), Found.end());
  }
  return All;
}

std::uint64_t Deployment::publish(const std::string &Key,
                                  const std::string &Text) const {
  const HttpReply Reply = HttpCaller::call(
      "PUT", this->PlatformAddress + "/control/config/" + Key, Text);
  require(Reply, Key);
  return static_cast<std::uint64_t>(
      json::JsonNode::parse(Reply.Body)["revision"].number());
}

void Deployment::setPlatformMode(const std::string &Parameters) const {
  require(HttpCaller::call("POST", this->PlatformAddress + "/control/mode?" +
                                       Parameters),
          Parameters);
}

void Deployment::publishVmList() const {
  require(HttpCaller::call("PUT", this->PlatformAddress + "/control/vms",
                           DocumentText::vmList(this->Vms, this->Searchers)),
          "the VM list");
}

void Deployment::addSearchers(const std::string &Service, std::uint32_t Shards,
                              std::uint32_t Replicas) {
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    for (std::uint32_t Replica = 0; Replica < Replicas; ++Replica) {
      SearcherHandle Each;
      Each.Id =
          Service + '-' + std::to_string(Shard) + '-' + std::to_string(Replica);
      Each.Service = Service;
      Each.Shard = Shard;
      Each.Address = this->Ports.next();
      Each.Control = this->Ports.next();
      const std::string File = this->write(
          Each.Id + ".toml", DocumentText::searcherSettings(this->Plan, Each));
      Each.Process = start("standin-searcher", {"--settings=" + File},
                           this->Folder + '/' + Each.Id + ".log");
      this->Searchers.push_back(std::move(Each));
    }
}

void Deployment::startPlatform() {
  this->write("documents/classes.toml", DocumentText::classes(this->Plan));
  for (const char *Service : {"crew", "weaving"})
    this->write(std::string("documents/service-") + Service + ".toml",
                DocumentText::service(this->Plan, Service, this->Searchers));
  this->Platform = start("standin-platform",
                         {"--listen=" + this->PlatformAddress,
                          "--documents=" + this->Folder + "/documents"},
                         this->Folder + "/platform.log");
  waitForPage(this->PlatformAddress + "/v1/vms");
}

std::string Deployment::write(const std::string &File,
                              const std::string &Text) const {
  std::string Path = this->Folder + '/' + File;
  std::ofstream Stream(Path);
  Stream << Text;
  if (!Stream.flush())
    throw std::runtime_error("cannot write " + Path);
  return Path;
}

} // namespace acaciacross::systemtests
