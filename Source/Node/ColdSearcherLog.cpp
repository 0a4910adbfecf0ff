#include "Node/ColdSearcherLog.h"

#include <cstddef>

namespace acaciacross::node {

namespace {

// All searchers of a failure domain may turn cold at once. The others follow
// with the next update, if they are still cold.
constexpr std::size_t MaxLinesPerUpdate = 16;

} // namespace

ColdSearcherLog::ColdSearcherLog(const forwarding::ServiceRegistry &Registry,
                                 logging::EventLog &Log)
    : Registry(Registry), Log(Log) {}

void ColdSearcherLog::update(common::MonotonicTime Now) {
  this->logWarm(Now);
  this->logCold(Now);
}

void ColdSearcherLog::logCold(common::MonotonicTime Now) {
  std::size_t Lines = 0;
  for (const common::SearcherId &Id : this->Registry.coldSearchers().marked()) {
    if (Lines == MaxLinesPerUpdate)
      return;
    const auto Found = this->Registry.allSearchers().find(Id);
    if (Found == this->Registry.allSearchers().end() ||
        this->Logged.contains(Id))
      continue;
    const forwarding::ColdStartAllowance &Allowance =
        Found->second->coldStart();
    if (!Allowance.isCold(Now))
      continue;
    ++Lines;
    this->Logged[Id] = {Found->second, Now, Allowance.withheldCount()};
    this->Log.write(
        logging::LogRecord(common::LogEvent::SearcherCold)
            .text("searcher", Id.Value)
            .text("service", Found->second->entry().Service.Value)
            .milliseconds("cold_left_ms", Allowance.coldUntil() - Now)
            .number("allowed_per_s", Allowance.limit()->RequestsPerSecond));
  }
}

void ColdSearcherLog::logWarm(common::MonotonicTime Now) {
  std::size_t Lines = 0;
  for (auto It = this->Logged.begin();
       It != this->Logged.end() && Lines < MaxLinesPerUpdate;) {
    const forwarding::ColdStartAllowance &Allowance =
        It->second.Record->coldStart();
    const auto Current = this->Registry.allSearchers().find(It->first);
    const bool IsListed = Current != this->Registry.allSearchers().end() &&
                          Current->second == It->second.Record;
    if (IsListed && Allowance.isCold(Now)) {
      ++It;
      continue;
    }
    ++Lines;
    this->Log.write(
        logging::LogRecord(common::LogEvent::SearcherWarm)
            .text("searcher", It->first.Value)
            .text("service", It->second.Record->entry().Service.Value)
            .flag("listed", IsListed)
            .milliseconds("cold_ms", Now - It->second.Since)
            .number("withheld",
                    static_cast<std::int64_t>(Allowance.withheldCount() -
                                              It->second.WithheldBefore)));
    It = this->Logged.erase(It);
  }
}

} // namespace acaciacross::node
