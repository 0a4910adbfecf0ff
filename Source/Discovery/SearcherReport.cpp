#include "Discovery/SearcherReport.h"

namespace acaciacross::discovery {

SearcherReport SearcherReport::of(const PublishedItem &Item) {
  return {Item.Searcher->StartedUnixMs, Item.Sequence,
          Item.Searcher->IsDraining};
}

} // namespace acaciacross::discovery
