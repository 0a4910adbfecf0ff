#ifndef ACACIACROSS_UNITTESTS_DISCOVERY_FAKEDECODER_H
#define ACACIACROSS_UNITTESTS_DISCOVERY_FAKEDECODER_H

#include "Discovery/ItemDecoder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// Decodes the values "searcher", "draining", "bad" and "version:N", of which
/// the first two may be followed by ":START:SEQUENCE", and the keys
/// "evacuate/DOMAIN", of which the one without a domain is malformed.
class FakeDecoder final : public ItemDecoder {
public:
  bool isUsed(const std::string &Key) const override {
    return !Key.starts_with("other/") && Key != "evacuate/";
  }

  PublishedItem decode(const StoreItem &Item) const override {
    PublishedItem Decoded;
    if (Item.Key.starts_with("evacuate/")) {
      Decoded.EvacuatedDomain = Item.Key.substr(9);
      if (Decoded.EvacuatedDomain.empty())
        Decoded.Problem = "no domain";
    } else if (Item.Value == "bad") {
      Decoded.Problem = "bad";
    } else if (Item.Value.starts_with("version:")) {
      Decoded.Table = std::make_shared<const forwarding::RoutingTable>(
          std::stoul(Item.Value.substr(8)), std::vector<forwarding::Route>(),
          std::map<common::ServiceName, unsigned>(),
          forwarding::CallerLimits());
    } else {
      forwarding::SearcherEntry Entry;
      Entry.Id = common::SearcherId(Item.Key);
      Entry.IsDraining = Item.Value.starts_with("draining");
      const std::size_t Start = Item.Value.find(':');
      if (Start != std::string::npos) {
        Entry.StartedUnixMs = std::stol(Item.Value.substr(Start + 1));
        Decoded.Sequence =
            std::stol(Item.Value.substr(Item.Value.rfind(':') + 1));
      }
      Decoded.Searcher = Entry;
    }
    return Decoded;
  }
};

} // namespace acaciacross::discovery

#endif
