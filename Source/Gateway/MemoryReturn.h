#ifndef ACACIACROSS_GATEWAY_MEMORYRETURN_H
#define ACACIACROSS_GATEWAY_MEMORYRETURN_H

#include <cstddef>

namespace acaciacross::gateway {

/// Decides when free heap memory is worth returning to the system, which takes
/// milliseconds.
class MemoryReturn {
public:
  explicit MemoryReturn(std::size_t MaxBytes);

  /// Held: memory that connections hold now.
  void update(std::size_t Held);
  /// Whether much memory was held that now is free.
  bool isDue() const;
  void noteReturned();

private:
  std::size_t MaxBytes;
  std::size_t Held = 0;
  std::size_t Peak = 0;
};

} // namespace acaciacross::gateway

#endif
