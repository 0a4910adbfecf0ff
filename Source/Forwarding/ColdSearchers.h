#ifndef ACACIACROSS_FORWARDING_COLDSEARCHERS_H
#define ACACIACROSS_FORWARDING_COLDSEARCHERS_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Forwarding/ColdSenderElection.h"
#include "Forwarding/ColdStartSettings.h"
#include "Forwarding/ReplicaRecord.h"
#include "Forwarding/RoutingTable.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace acaciacross::forwarding {

/// Keeps the limits of all cold searchers up to date and remembers the
/// allowances of those that are not listed for a while.
class ColdSearchers {
public:
  using RecordMap =
      std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>>;

  /// Number of searchers that are not listed whose allowances are kept.
  static constexpr std::size_t MaxUnlisted = 4'096;

  explicit ColdSearchers(ColdStartSettings Settings);

  /// Returns the requests that all VMs together may send to one cold searcher
  /// in any one second.
  static unsigned fleetLimit(const ColdStartTolerance &Tolerance,
                             const ColdStartSettings &Settings);

  void setTable(std::shared_ptr<const RoutingTable> NewTable,
                const RecordMap &Searchers);
  void updateMembers(const FleetMembers &Members, const RecordMap &Searchers,
                     common::MonotonicTime Now);
  /// The searcher is listed and was not before.
  void onListed(ReplicaRecord &Record, common::MonotonicTime Now);
  /// A listed searcher has published another entry.
  void onChanged(ReplicaRecord &Record, const SearcherEntry &Before,
                 common::MonotonicTime Now);
  void onRemoved(const ReplicaRecord &Record, common::MonotonicTime Now);
  void onReported(ReplicaRecord &Record, std::chrono::milliseconds ColdLeft,
                  common::MonotonicTime Now);
  void onConnectFailed(ReplicaRecord &Record, common::MonotonicTime Now);

  /// The searchers that are cold or may be. May hold some that are warm since.
  const std::set<common::SearcherId> &marked() const;
  /// Requests withheld from searchers that are no longer listed.
  std::uint64_t unlistedWithheldCount() const;

private:
  struct UnlistedSearcher {
    ColdStartAllowance Allowance;
    common::ServiceName Service;
    common::MonotonicTime RemovedAt;
  };

  std::optional<ColdStartLimit> limitOf(const SearcherEntry &Searcher,
                                        bool IsMarked) const;
  void mark(ReplicaRecord &Record);
  void forgetWarm(const RecordMap &Searchers, common::MonotonicTime Now);

  ColdStartSettings Settings;
  std::shared_ptr<const RoutingTable> Table;
  ColdSenderElection Election;
  std::set<common::SearcherId> Marked;
  std::map<common::SearcherId, UnlistedSearcher> Unlisted;
  std::uint64_t UnlistedWithheld = 0;
};

} // namespace acaciacross::forwarding

#endif
