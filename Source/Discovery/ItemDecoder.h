#ifndef ACACIACROSS_DISCOVERY_ITEMDECODER_H
#define ACACIACROSS_DISCOVERY_ITEMDECODER_H

#include "Discovery/PublishedItem.h"
#include "Discovery/StoreItem.h"

#include <string>

namespace acaciacross::discovery {

/// Decodes published values of the store.
class ItemDecoder {
public:
  virtual ~ItemDecoder() = default;

  /// Whether this VM uses the values of the key. Values of other keys belong to
  /// other programs, or their key is malformed; decode tells of the latter.
  virtual bool isUsed(const std::string &Key) const = 0;
  virtual PublishedItem decode(const StoreItem &Item) const = 0;
};

} // namespace acaciacross::discovery

#endif
