#include "Benchmarks/Capacity/HeapCounter.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

// glibc stores the size of a block in a header in front of it.
constexpr std::int64_t HeaderBytes = 8;

// Atomic, because stand-ins run on their own threads.
std::atomic<std::uint64_t> AllocationCount = 0;
std::atomic<std::int64_t> BytesInUse = 0;

std::int64_t blockSize(void *Memory) {
  return static_cast<std::int64_t>(malloc_usable_size(Memory)) + HeaderBytes;
}

void release(void *Memory) {
  if (Memory == nullptr)
    return;
  BytesInUse -= blockSize(Memory);
  std::free(Memory);
}

} // namespace

void *operator new(std::size_t Size) {
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    throw std::bad_alloc();
  ++AllocationCount;
  BytesInUse += blockSize(Memory);
  return Memory;
}

void operator delete(void *Memory) noexcept { release(Memory); }

void operator delete(void *Memory, std::size_t /*Size*/) noexcept {
  release(Memory);
}

namespace acaciacross::benchmarks {

std::uint64_t HeapCounter::allocations() { return AllocationCount; }

std::int64_t HeapCounter::bytesInUse() { return BytesInUse; }

} // namespace acaciacross::benchmarks
