#include "Benchmarks/Selection/AllocationCounter.h"

#include <cstdlib>
#include <new>

namespace {

// Not atomic, because the program has one thread.
std::uint64_t AllocationCount = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++AllocationCount;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }

void operator delete(void *Memory, std::size_t /*Size*/) noexcept {
  std::free(Memory);
}

namespace acaciacross::benchmarks {

std::uint64_t AllocationCounter::count() { return AllocationCount; }

} // namespace acaciacross::benchmarks
