#include "Discovery/EvacuatedDomains.h"

#include <cstdint>

namespace acaciacross::discovery {

EvacuatedDomains::EvacuatedDomains(logging::EventLog &Log) : Log(Log) {}

bool EvacuatedDomains::add(const std::string &Key, const std::string &Domain,
                           common::MonotonicTime Now) {
  const auto [Entry, IsNew] = this->ByKey.try_emplace(Key);
  Entry->second.HeldUntil.reset();
  if (!IsNew)
    return false;
  Entry->second.Domain = Domain;
  Entry->second.Since = Now;
  this->Log.write(
      logging::LogRecord(common::LogEvent::DomainEvacuated)
          .text("key", Key)
          .text("domain", Domain)
          .number("evacuated", static_cast<std::int64_t>(this->ByKey.size())));
  return true;
}

bool EvacuatedDomains::remove(const std::string &Key,
                              std::optional<common::MonotonicTime> HeldUntil,
                              common::MonotonicTime Now) {
  const auto Found = this->ByKey.find(Key);
  if (Found == this->ByKey.end())
    return false;
  if (HeldUntil) {
    if (!Found->second.HeldUntil)
      Found->second.HeldUntil = HeldUntil;
    return false;
  }
  this->end(Found, Now);
  return true;
}

bool EvacuatedDomains::expire(common::MonotonicTime Now) {
  bool HasChanged = false;
  for (auto It = this->ByKey.begin(); It != this->ByKey.end();) {
    if (!It->second.HeldUntil || *It->second.HeldUntil > Now) {
      ++It;
      continue;
    }
    It = this->end(It, Now);
    HasChanged = true;
  }
  return HasChanged;
}

void EvacuatedDomains::limitHolds(common::MonotonicTime HeldUntil) {
  for (auto &[Key, Held] : this->ByKey)
    if (Held.HeldUntil == common::MonotonicTime::max())
      Held.HeldUntil = HeldUntil;
}

std::set<std::string> EvacuatedDomains::names() const {
  std::set<std::string> Result;
  for (const auto &[Key, Current] : this->ByKey)
    Result.insert(Current.Domain);
  return Result;
}

std::map<std::string, EvacuatedDomains::Evacuation>::iterator
EvacuatedDomains::end(std::map<std::string, Evacuation>::iterator It,
                      common::MonotonicTime Now) {
  this->Log.write(logging::LogRecord(common::LogEvent::DomainEvacuationEnded)
                      .text("key", It->first)
                      .text("domain", It->second.Domain)
                      .number("evacuated",
                              static_cast<std::int64_t>(this->ByKey.size()) - 1)
                      .flag("held", It->second.HeldUntil.has_value())
                      .milliseconds("evacuated_ms", Now - It->second.Since));
  return this->ByKey.erase(It);
}

} // namespace acaciacross::discovery
