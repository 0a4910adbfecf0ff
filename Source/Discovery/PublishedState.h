#ifndef ACACIACROSS_DISCOVERY_PUBLISHEDSTATE_H
#define ACACIACROSS_DISCOVERY_PUBLISHEDSTATE_H

#include "Common/Clock.h"
#include "Discovery/ItemDecoder.h"
#include "Discovery/StoreListener.h"
#include "Forwarding/RoutingTable.h"
#include "Forwarding/SearcherEntry.h"
#include "Logging/EventLog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// What this VM holds to be published: the searchers in use and the version of
/// the routes in effect. Entries that lapse while the store is away stay in use
/// until the searchers have had time to register again.
class PublishedState final : public StoreListener {
public:
  PublishedState(const ItemDecoder &Decoding, const common::Clock &TimeSource,
                 logging::EventLog &Journal);

  void onSnapshot(std::vector<StoreItem> Items,
                  std::uint64_t Revision) override;
  void onChanges(std::vector<StoreChange> Changes,
                 std::uint64_t Revision) override;
  void onAnswered() override;
  void onCallFailed(const std::string &Problem,
                    std::chrono::milliseconds Duration) override;
  void onUnavailable(const std::string &Problem) override;
  void onAvailable() override;
  void onHistoryLost() override;

  /// Drops held entries whose time is over.
  void expire();

  std::vector<forwarding::SearcherEntry> searchers() const;
  /// Null until a version is known.
  const std::shared_ptr<const forwarding::RoutingTable> &table() const;
  /// Everything up to this revision of the store is known.
  std::uint64_t revision() const;
  /// Whether all removals after that revision are known.
  bool knowsRemovalsAfter(std::uint64_t Revision) const;
  /// The last change of each key after that revision, oldest first.
  std::vector<StoreChange> changesAfter(std::uint64_t Revision) const;
  /// All that is published at the revision that is known.
  std::vector<StoreItem> items() const;
  /// Rises with each change of what searchers and table give.
  std::uint64_t changes() const;
  bool hasSnapshot() const;
  /// When the store last answered this VM; empty when it never did.
  std::optional<common::MonotonicTime> answeredAt() const;

private:
  struct Listed {
    forwarding::SearcherEntry Entry;
    /// Set for an entry that is gone but may come back.
    std::optional<common::MonotonicTime> HeldUntil;
  };

  /// Keeps the change for peers; false for one that is older than what is
  /// known of its key.
  bool remember(const StoreChange &Change);
  void forgetOldRemovals();
  void apply(const StoreItem &Item);
  void takeSearcher(const StoreItem &Item, forwarding::SearcherEntry Entry);
  void takeTable(std::shared_ptr<const forwarding::RoutingTable> Table);
  void remove(const std::string &Key);
  void drop(const std::string &Key, const char *Reason);

  const ItemDecoder &Decoder;
  const common::Clock &Time;
  logging::EventLog &Log;
  std::map<std::string, Listed> Entries;
  std::shared_ptr<const forwarding::RoutingTable> Table;
  /// The last change of each key, removals included.
  std::map<std::string, StoreChange> Latest;
  std::uint64_t Known = 0;
  /// Removals up to here may have been forgotten.
  std::uint64_t ForgottenUpTo = 0;
  std::optional<common::MonotonicTime> AwaySince;
  std::optional<common::MonotonicTime> AnsweredAt;
  common::MonotonicTime HoldUntil;
  std::uint64_t Changes = 0;
  bool Complete = false;
};

} // namespace acaciacross::discovery

#endif
