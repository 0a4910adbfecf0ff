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
  /// Rises with each change of what the two functions above give.
  std::uint64_t changes() const;
  bool hasSnapshot() const;

private:
  struct Listed {
    forwarding::SearcherEntry Entry;
    std::uint64_t Revision = 0;
    /// Set for an entry that is gone but may come back.
    std::optional<common::MonotonicTime> HeldUntil;
  };

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
  std::optional<common::MonotonicTime> AwaySince;
  common::MonotonicTime HoldUntil;
  std::uint64_t Changes = 0;
  bool Complete = false;
};

} // namespace acaciacross::discovery

#endif
