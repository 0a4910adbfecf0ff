#include "Benchmarks/Capacity/SampleFleet.h"

#include <algorithm>

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint32_t ReplicasPerShard = 3;
constexpr std::uint32_t FailureDomains = 13;
constexpr std::uint32_t KeysPerShard = 6'554;
constexpr std::uint16_t Port = 7'301;

} // namespace

configuration::EntrySettings SampleFleet::settings() {
  configuration::EntrySettings Settings;
  Settings.Vm = common::VmId("entry-self");
  Settings.Zone = "lake-1";
  Settings.FailureDomain = "lake-1-rack-a";
  Settings.CallerAddress = {"10.250.0.1", Port};
  Settings.PeerAddress = {"10.250.0.1", Port + 1};
  return Settings;
}

common::Address SampleFleet::address(std::uint32_t Number) {
  return {"10." + std::to_string(Number / 62'500) + '.' +
              std::to_string(Number / 250 % 250) + '.' +
              std::to_string(Number % 250 + 1),
          Port};
}

common::SearcherId SampleFleet::searcherId(std::uint32_t Number) {
  return common::SearcherId("crew-" +
                            std::to_string(Number / ReplicasPerShard) + '-' +
                            std::to_string(Number % ReplicasPerShard));
}

membership::MemberStatus SampleFleet::member(std::uint32_t Number) {
  membership::MemberStatus Status;
  Status.Vm = common::VmId("entry-" + std::to_string(Number));
  Status.Incarnation =
      common::Incarnation(0x9E3779B97F4A7C15ULL * (Number + 1));
  Status.State = membership::ServingState::Serving;
  Status.CallerAddress = address(Number);
  Status.FailureDomain =
      "region-1-rack-" + std::to_string(Number % FailureDomains);
  Status.PositionInEffect = 33'000;
  Status.ConfigurationDigest = 0x1234567890ABCDEFULL;
  return Status;
}

std::string SampleFleet::searcherText(std::uint32_t Number) {
  return "[[searcher]]\nid = \"" + searcherId(Number).Value +
         "\"\naddress = \"" + address(Number).toString() +
         "\"\nzone = \"lake-" + std::to_string(Number % 4 + 1) +
         "\"\nslots = 2\nmax_connections = 25\n\n";
}

std::string SampleFleet::snapshotText(std::uint32_t First, std::uint32_t Count,
                                      std::uint32_t Snapshot) {
  std::string Text =
      "[[snapshot]]\nid = \"2026-12-04T0" + std::to_string(Snapshot) + "\"\n\n";
  for (std::uint32_t Shard = 0; Shard * ReplicasPerShard < Count; ++Shard) {
    Text += "[[snapshot.shard]]\nid = " + std::to_string(Shard) +
            "\nrange_begin = " + std::to_string(Shard * KeysPerShard) +
            "\nrange_end = " + std::to_string((Shard + 1) * KeysPerShard) +
            "\ndocuments = 1000\nreplicas = [";
    for (std::uint32_t I = Shard * ReplicasPerShard;
         I < Count && I < (Shard + 1) * ReplicasPerShard; ++I)
      Text += (I % ReplicasPerShard == 0 ? "\"" : ", \"") +
              searcherId(First + I).Value + '"';
    Text += "]\n\n";
  }
  return Text;
}

std::string SampleFleet::serviceText(std::uint32_t First, std::uint32_t Count) {
  std::string Text;
  for (std::uint32_t I = 0; I < Count; ++I)
    Text += searcherText(First + I);
  return Text + snapshotText(First, Count, 6) + snapshotText(First, Count, 0);
}

configuration::ConfigurationChange
SampleFleet::classes(std::uint64_t Revision) {
  return {"classes", common::Revision(Revision),
          "[budget]\nmax_entry_vms = 12\n"
          "max_configuration_calls_per_second = 200\n\n"
          "[class.crew-plots]\nservice = \"service-0\"\n"
          "latency_target_ms = 80\ntarget_percentile = 99.0\n"
          "coverage_target = 0.99\nextra_load_target = 0.05\n"
          "repeatable = true\n"};
}

configuration::ConfigurationChange
SampleFleet::service(std::uint32_t Number, std::uint32_t First,
                     std::uint32_t Count, std::uint64_t Revision) {
  return {"service/service-" + std::to_string(Number),
          common::Revision(Revision), serviceText(First, Count)};
}

std::vector<configuration::ConfigurationChange>
SampleFleet::documents(std::uint32_t Searchers,
                       std::uint32_t SearchersPerService) {
  std::vector<configuration::ConfigurationChange> Changes = {classes(1)};
  for (std::uint32_t First = 0; First < Searchers; First += SearchersPerService)
    Changes.push_back(service(First / SearchersPerService, First,
                              std::min(SearchersPerService, Searchers - First),
                              Changes.size() + 1));
  return Changes;
}

std::string SampleFleet::vmList(std::uint32_t Vms) {
  std::string Text = "{\"vms\":[";
  for (std::uint32_t I = 0; I < Vms; ++I) {
    const bool IsEntry = I % 8 == 0;
    Text += I == 0 ? "" : ",";
    Text +=
        R"({"id":")" + (IsEntry ? member(I).Vm.Value : searcherId(I).Value) +
        R"(","kind":")" + (IsEntry ? "entry" : "upstream") + R"(","host":")" +
        address(I).Host + R"(","port":7301,)" + R"("state":"live"})";
  }
  return Text + "]}";
}

} // namespace acaciacross::benchmarks
