#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_SAMPLEFLEET_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_SAMPLEFLEET_H

#include "Configuration/ConfigurationChange.h"
#include "Configuration/EntrySettings.h"
#include "Membership/MemberStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::benchmarks {

/// Generates names, addresses and documents of typical lengths.
class SampleFleet {
public:
  static configuration::EntrySettings settings();
  static common::Address address(std::uint32_t Number);
  static common::SearcherId searcherId(std::uint32_t Number);
  static membership::MemberStatus member(std::uint32_t Number);

  /// The "[[searcher]]" table of one searcher.
  static std::string searcherText(std::uint32_t Number);
  /// The "[[snapshot]]" table of Count searchers from First on, in shards of
  /// three replicas each.
  static std::string snapshotText(std::uint32_t First, std::uint32_t Count,
                                  std::uint32_t Snapshot);
  /// Service document of Count searchers from First on, with two snapshots, as
  /// during an index change.
  static std::string serviceText(std::uint32_t First, std::uint32_t Count);

  static configuration::ConfigurationChange classes(std::uint64_t Revision);
  static configuration::ConfigurationChange service(std::uint32_t Number,
                                                    std::uint32_t First,
                                                    std::uint32_t Count,
                                                    std::uint64_t Revision);
  /// The document "classes" and the documents of services with
  /// SearchersPerService searchers each.
  static std::vector<configuration::ConfigurationChange>
  documents(std::uint32_t Searchers, std::uint32_t SearchersPerService);

  /// VM list of Vms VMs, of which every eighth is an entry VM.
  static std::string vmList(std::uint32_t Vms);
};

} // namespace acaciacross::benchmarks

#endif
