#include "StandIns/Platform/CallLimiter.h"

#include <algorithm>

namespace acaciacross::standins {

CallLimiter::CallLimiter(std::size_t CallsPerSecond)
    : CallsPerSecond(CallsPerSecond) {}

std::optional<std::uint64_t> CallLimiter::begin(common::MonotonicTime Now) {
  const std::size_t Counting = this->counting(Now);
  if (Counting >= this->CallsPerSecond) {
    ++this->Refused;
    return std::nullopt;
  }
  this->Recent.push_back(Now);
  this->OpenCalls.emplace(++this->Accepted, Now);
  this->Peak = std::max(this->Peak, Counting + 1);
  return this->Accepted;
}

void CallLimiter::end(std::uint64_t Call) { this->OpenCalls.erase(Call); }

std::uint64_t CallLimiter::accepted() const { return this->Accepted; }
std::uint64_t CallLimiter::refused() const { return this->Refused; }
std::size_t CallLimiter::open() const { return this->OpenCalls.size(); }
std::size_t CallLimiter::peak() const { return this->Peak; }

std::size_t CallLimiter::counting(common::MonotonicTime Now) {
  const common::MonotonicTime WindowBegin = Now - std::chrono::seconds(1);
  while (!this->Recent.empty() && this->Recent.front() <= WindowBegin)
    this->Recent.pop_front();
  std::size_t Count = this->Recent.size();
  for (const auto &[Call, Started] : this->OpenCalls) {
    if (Started > WindowBegin)
      break;
    ++Count;
  }
  return Count;
}

} // namespace acaciacross::standins
