#ifndef ACACIACROSS_DISCOVERY_PUBLISHEDITEM_H
#define ACACIACROSS_DISCOVERY_PUBLISHEDITEM_H

#include "Forwarding/RoutingTable.h"
#include "Forwarding/SearcherEntry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// Decoded content of a published value. No field is set for a value that this
/// VM does not use.
struct PublishedItem {
  std::optional<forwarding::SearcherEntry> Searcher;
  /// The number of the entry among those of one start of the searcher.
  std::int64_t Sequence = 0;
  std::shared_ptr<const forwarding::RoutingTable> Table;
  /// The failure domain whose searchers must get nothing while the key exists;
  /// empty for other keys. The key says everything; its value is not used.
  std::string EvacuatedDomain;
  /// Why the key or the value is malformed; empty if it is valid or not used.
  std::string Problem;
  /// What an otherwise valid value has left out, and why.
  std::vector<std::string> LeftOut;
};

} // namespace acaciacross::discovery

#endif
