#include "Gateway/ResponseBufferBudget.h"

#include <algorithm>

namespace acaciacross::gateway {

ResponseBufferBudget::ResponseBufferBudget(std::size_t MaxBytes)
    : MaxBytes(MaxBytes) {}

std::optional<forwarding::AttemptNumber>
ResponseBufferBudget::update(forwarding::AttemptNumber Attempt,
                             std::size_t Bytes) {
  std::size_t &Held = this->BytesByAttempt[Attempt];
  this->HeldBytes += Bytes - Held;
  Held = Bytes;
  this->PeakBytes = std::max(this->PeakBytes, this->HeldBytes);
  if (this->HeldBytes <= this->MaxBytes)
    return std::nullopt;
  return std::ranges::max_element(
             this->BytesByAttempt, {},
             [](const auto &Entry) { return Entry.second; })
      ->first;
}

void ResponseBufferBudget::release(forwarding::AttemptNumber Attempt) {
  const auto Found = this->BytesByAttempt.find(Attempt);
  if (Found == this->BytesByAttempt.end())
    return;
  this->HeldBytes -= Found->second;
  this->BytesByAttempt.erase(Found);
}

std::size_t ResponseBufferBudget::heldBytes() const { return this->HeldBytes; }

std::size_t ResponseBufferBudget::peakBytes() const { return this->PeakBytes; }

} // namespace acaciacross::gateway
