#include "Gateway/MemoryShares.h"

namespace acaciacross::gateway {

// A quarter for each kind of neighbour, so that neither can take what the other
// needs. The other half is left for what no connection decides: a quarter for
// the program and what is published, and a quarter for bytes that the kernel
// has received and for heap space between blocks of different sizes.
MemoryShares MemoryShares::of(std::size_t MemoryBytes) {
  return {MemoryBytes / 4, MemoryBytes / 4};
}

} // namespace acaciacross::gateway
