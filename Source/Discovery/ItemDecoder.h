#ifndef ACACIACROSS_DISCOVERY_ITEMDECODER_H
#define ACACIACROSS_DISCOVERY_ITEMDECODER_H

#include "Discovery/PublishedItem.h"
#include "Discovery/StoreItem.h"

namespace acaciacross::discovery {

/// Decodes published values of the store.
class ItemDecoder {
public:
  virtual ~ItemDecoder() = default;

  virtual PublishedItem decode(const StoreItem &Item) const = 0;
};

} // namespace acaciacross::discovery

#endif
