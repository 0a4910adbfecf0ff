#ifndef ACACIACROSS_DISCOVERY_PUBLISHEDITEM_H
#define ACACIACROSS_DISCOVERY_PUBLISHEDITEM_H

#include "Forwarding/RoutingTable.h"
#include "Forwarding/SearcherEntry.h"

#include <memory>
#include <optional>
#include <string>

namespace acaciacross::discovery {

/// What a published value says; nothing is set for values of no concern.
struct PublishedItem {
  std::optional<forwarding::SearcherEntry> Searcher;
  std::shared_ptr<const forwarding::RoutingTable> Table;
  /// Why a value that should say something cannot be used; empty otherwise.
  std::string Problem;
};

} // namespace acaciacross::discovery

#endif
