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

constexpr std::chrono::seconds StartTimeout{15};

// The vector never grows beyond this, so that references to entry VMs stay
// valid while VMs are added.
constexpr std::size_t EntryVmCapacity = 32;

std::unique_ptr<ProcessHandle> start(const std::string &Program,
                                     const std::vector<std::string> &Arguments,
                                     const std::string &LogFile) {
  return std::make_unique<ProcessHandle>(ACACIACROSS_PROGRAMS_DIR "/" + Program,
                                         Arguments, LogFile);
}

void waitForSuccess(const std::string &Target) {
  if (!waitUntil(StartTimeout, [&Target] {
        return HttpCaller::call("GET", Target).Status == 200;
      }))
    throw std::runtime_error("not ready in time: " + Target);
}

void requireSuccess(const HttpReply &Reply, const std::string &Subject) {
  if (Reply.Status != 200)
    throw std::runtime_error("the platform rejected " + Subject);
}

} // namespace

Deployment::Deployment(const DeploymentPlan &Plan, const std::string &Name)
    : Plan(Plan), Folder(ACACIACROSS_RUN_DIR "/" + Name),
      PlatformAddress(this->Ports.next()), UnusedAddress(this->Ports.next()) {
  std::filesystem::remove_all(this->Folder);
  std::filesystem::create_directories(this->Folder + "/documents");
  this->addSearchers("crew", Plan.CrewShards, Plan.CrewReplicas);
  this->addSearchers("weaving", 1, Plan.WeavingReplicas);
  this->startPlatform();
  for (const SearcherHandle &Searcher : this->Searchers)
    waitForSuccess(Searcher.ControlAddress + "/control/counters");
  this->Vms.reserve(EntryVmCapacity);
  while (this->Vms.size() < Plan.EntryVms)
    this->addVm();
  std::vector<const EntryVm *> All;
  for (const EntryVm &Vm : this->Vms)
    All.push_back(&Vm);
  if (!waitUntil(StartTimeout, [&All] { return isFleetComplete(All); }))
    throw std::runtime_error("the entry VMs did not see each other in time");
}

const DeploymentPlan &Deployment::plan() const { return this->Plan; }
std::vector<EntryVm> &Deployment::vms() { return this->Vms; }
std::vector<SearcherHandle> &Deployment::searchers() { return this->Searchers; }

std::vector<SearcherHandle *> Deployment::replicas(const std::string &Service,
                                                   std::uint32_t Shard) {
  std::vector<SearcherHandle *> Found;
  for (SearcherHandle &Searcher : this->Searchers)
    if (Searcher.Service == Service && Searcher.Shard == Shard)
      Found.push_back(&Searcher);
  return Found;
}

EntryVm &Deployment::addVm() {
  if (this->Vms.size() >= EntryVmCapacity)
    throw std::runtime_error("too many entry VMs");
  EntryVm &Vm = this->Vms.emplace_back();
  const std::size_t Number = this->Vms.size();
  Vm.Id = "entry-" + std::to_string(Number);
  Vm.CallerAddress = this->Ports.next();
  Vm.PeerAddress = this->Ports.next();
  Vm.LogFile = this->Folder + '/' + Vm.Id + ".log";
  const bool ReachesConfiguration =
      Number == 1 || !this->Plan.OnlyFirstReachesConfiguration;
  Vm.SettingsFile = this->write(
      Vm.Id + ".toml",
      DocumentText::entrySettings(Vm, Number,
                                  ReachesConfiguration ? this->PlatformAddress
                                                       : this->UnusedAddress,
                                  this->PlatformAddress));
  this->publishVmList();
  Vm.start();
  return Vm;
}

// Reads the status page, because an address answer lists only a few VMs.
bool Deployment::isFleetComplete(const std::vector<const EntryVm *> &Vms) {
  std::set<std::string> All;
  for (const EntryVm *Vm : Vms)
    All.insert(Vm->CallerAddress);
  for (const EntryVm *Vm : Vms)
    if (Vm->fleet() != All)
      return false;
  return true;
}

std::vector<RecordedExecution>
Deployment::record(const std::string &RequestId) const {
  std::vector<RecordedExecution> All;
  for (const SearcherHandle &Searcher : this->Searchers) {
    if (!Searcher.Process)
      continue;
    const auto Found = RecordReader::read(Searcher, RequestId);
    All.insert(All.end(), Found.begin(), Found.end());
  }
  return All;
}

std::uint64_t Deployment::publish(const std::string &Key,
                                  const std::string &Text) const {
  const HttpReply Reply = HttpCaller::call(
      "PUT", this->PlatformAddress + "/control/config/" + Key, Text);
  requireSuccess(Reply, Key);
  return static_cast<std::uint64_t>(
      json::JsonNode::parse(Reply.Body)["revision"].number());
}

void Deployment::setPlatformMode(const std::string &Parameters) const {
  requireSuccess(HttpCaller::call("POST", this->PlatformAddress +
                                              "/control/mode?" + Parameters),
                 Parameters);
}

void Deployment::publishVmList() const {
  requireSuccess(
      HttpCaller::call("PUT", this->PlatformAddress + "/control/vms",
                       DocumentText::vmList(this->Vms, this->Searchers)),
      "the VM list");
}

void Deployment::addSearchers(const std::string &Service, std::uint32_t Shards,
                              std::uint32_t Replicas) {
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    for (std::uint32_t Replica = 0; Replica < Replicas; ++Replica) {
      SearcherHandle Searcher;
      Searcher.Id =
          Service + '-' + std::to_string(Shard) + '-' + std::to_string(Replica);
      Searcher.Service = Service;
      Searcher.Shard = Shard;
      Searcher.Address = this->Ports.next();
      Searcher.ControlAddress = this->Ports.next();
      const std::string File =
          this->write(Searcher.Id + ".toml",
                      DocumentText::searcherSettings(this->Plan, Searcher));
      Searcher.Process = start("standin-searcher", {"--settings=" + File},
                               this->Folder + '/' + Searcher.Id + ".log");
      this->Searchers.push_back(std::move(Searcher));
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
  waitForSuccess(this->PlatformAddress + "/v1/vms");
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
