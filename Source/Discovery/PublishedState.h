#ifndef ACACIACROSS_DISCOVERY_PUBLISHEDSTATE_H
#define ACACIACROSS_DISCOVERY_PUBLISHEDSTATE_H

#include "Common/Clock.h"
#include "Common/StorePosition.h"
#include "Discovery/EvacuatedDomains.h"
#include "Discovery/ItemDecoder.h"
#include "Discovery/PublishedChanges.h"
#include "Discovery/StoreChange.h"
#include "Discovery/StoreItem.h"
#include "Discovery/WriterOrder.h"
#include "Forwarding/RoutingTable.h"
#include "Forwarding/SearcherEntry.h"
#include "Logging/EventLog.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// The published state that this VM knows: the searchers in use and the version
/// of the routes in effect. Entries that expire while the store is unavailable
/// stay in use until the searchers have had time to register again.
class PublishedState final {
public:
  PublishedState(const ItemDecoder &Decoder, const common::Clock &Time,
                 logging::EventLog &Log);

  /// All items that were published at the position have been read. A newer era
  /// begins for this VM with the first such list of it.
  void onSnapshot(const std::vector<StoreItem> &Items,
                  common::StorePosition Position);
  /// With the changes all up to the position are known. Changes of an era that
  /// has not begun here are ignored.
  void onChanges(const std::vector<StoreChange> &Changes,
                 common::StorePosition Position);
  void onCallFailed(const std::string &Problem,
                    std::chrono::milliseconds Duration);
  void onUnavailable(const std::string &Problem);
  void onAvailable();
  void onHistoryLost();
  void onInvalidEra(const std::string &Text);

  /// A peer has heard of an answer of the store that was given at the time.
  void onPeerAnswered(common::MonotonicTime At);

  /// Removes retained entries, and ends held evacuations, whose time is over.
  void expire();

  std::vector<forwarding::SearcherEntry> searchers() const;
  /// The failure domains whose searchers must get nothing.
  std::set<std::string> evacuatedDomains() const;
  /// The newest routing table; null until one is known.
  const std::shared_ptr<const forwarding::RoutingTable> &table() const;
  /// When the table was accepted.
  common::MonotonicTime tableAcceptedAt() const;
  /// The position of the store up to which all changes are known.
  common::StorePosition position() const;
  /// What a peer needs that knows all changes up to the given position.
  PublishedChanges changesSince(common::StorePosition Position) const;
  /// Applies what a peer has passed on. Changes are ignored before the first
  /// snapshot, because this VM cannot know what they leave out.
  void apply(PublishedChanges FromPeer);
  /// Whether all removals after the given position are known.
  bool knowsRemovalsAfter(common::StorePosition Position) const;
  /// The last change of each key after the given position, oldest first.
  std::vector<StoreChange> changesAfter(common::StorePosition Position) const;
  /// All items that are published at the known position.
  std::vector<StoreItem> items() const;
  /// Counts the changes of the results of searchers(), evacuatedDomains() and
  /// table().
  std::uint64_t changes() const;
  bool hasSnapshot() const;

private:
  struct SearcherRecord {
    forwarding::SearcherEntry Entry;
    /// Set for an entry that was removed from the store but may be registered
    /// again.
    std::optional<common::MonotonicTime> RetainedUntil;
  };

  /// Handles that the store is in a newer era, if it is.
  void beginEra(common::StorePosition Position);
  bool isNewer(const std::string &Key, common::StorePosition Position) const;
  /// Whether the item says less than what is known of its key.
  bool isOutdated(const StoreItem &Item, const PublishedItem &Decoded) const;
  /// What is known of the key takes the position.
  void holdKnown(const std::string &Key, common::StorePosition Position);
  /// Records the change for peers.
  void recordChange(StoreChange Change);
  void pruneRemovals();
  /// Removes the entry of the key unless a newer change is known.
  void applyRemoval(const std::string &Key, common::StorePosition Position);
  void applyItem(const StoreItem &Item);
  void applyMalformed(const StoreItem &Item, const std::string &Problem);
  /// Logs why the key or the value is malformed, unless it has been logged.
  void logProblem(const StoreItem &Item, const std::string &Problem);
  /// Logs what a routing table has left out.
  void logLeftOut(const StoreItem &Item,
                  const std::vector<std::string> &LeftOut);
  void updateSearcher(const StoreItem &Item, forwarding::SearcherEntry Entry);
  void updateTable(const StoreItem &Item,
                   std::shared_ptr<const forwarding::RoutingTable> Newer);
  void removeEntry(const std::string &Key);
  /// Until when something that was removed now is retained; empty when it is
  /// not.
  std::optional<common::MonotonicTime> retentionEnd() const;
  void eraseEntry(const std::string &Key, const char *Reason);

  const ItemDecoder &Decoder;
  const common::Clock &Time;
  logging::EventLog &Log;
  std::map<std::string, SearcherRecord> Entries;
  EvacuatedDomains Evacuated;
  std::shared_ptr<const forwarding::RoutingTable> Table;
  std::string TableKey;
  common::MonotonicTime TableAcceptedAt;
  /// The last change of each key, including removals.
  std::map<std::string, StoreChange> LatestChanges;
  WriterOrder EntryOrder;
  /// The problems of malformed values by key, as logged.
  std::map<std::string, std::string> Problems;
  common::StorePosition KnownPosition;
  /// All items of the store at this position are known, and no others.
  common::StorePosition CompleteUpTo;
  /// Removals up to this position may be unknown.
  common::StorePosition RemovalsUnknownUpTo;
  std::optional<common::MonotonicTime> UnavailableSince;
  common::MonotonicTime RetainRemovedUntil;
  std::uint64_t ChangeCount = 0;
  bool HasSnapshot = false;
};

} // namespace acaciacross::discovery

#endif
