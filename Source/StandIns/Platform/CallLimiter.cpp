#include "StandIns/Platform/CallLimiter.h"

#include <algorithm>

namespace acaciacross::standins {

CallLimiter::CallLimiter(std::size_t CallsPerSecond)
    : CallsPerSecond(CallsPerSecond) {}

std::optional<std::uint64_t> CallLimiter::begin(common::MonotonicTime Now) {
  const std::size_t CountedCalls = this->countCalls(Now);
  if (CountedCalls >= this->CallsPerSecond) {
    ++this->Refused;
    return std::nullopt;
  }
  this->RecentStarts.push_back(Now);
  this->OpenCalls.emplace(++this->Accepted, Now);
  this->Peak = std::max(this->Peak, CountedCalls + 1);
  return this->Accepted;
}

void CallLimiter::end(std::uint64_t CallNumber) {
  this->OpenCalls.erase(CallNumber);
}

std::uint64_t CallLimiter::accepted() const { return this->Accepted; }
std::uint64_t CallLimiter::refused() const { return this->Refused; }
std::size_t CallLimiter::open() const { return this->OpenCalls.size(); }
std::size_t CallLimiter::peak() const { return this->Peak; }

std::size_t CallLimiter::countCalls(common::MonotonicTime Now) {
  const common::MonotonicTime WindowBegin = Now - std::chrono::seconds(1);
  while (!this->RecentStarts.empty() &&
         this->RecentStarts.front() <= WindowBegin)
    this->RecentStarts.pop_front();
  std::size_t Count = this->RecentStarts.size();
  for (const auto &[CallNumber, Started] : this->OpenCalls) {
    if (Started > WindowBegin)
      break;
    ++Count;
  }
  return Count;
}

} // namespace acaciacross::standins
