#include "StandIns/Searcher/FaultSwitches.h"

#include <charconv>
#include <map>

namespace acaciacross::standins {

namespace {

template <typename T> bool parseNumber(const std::string &Text, T &Value) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

bool FaultSwitches::set(const std::string &Name, const std::string &Value) {
  if (Name == "clear") {
    this->ActiveFaults = Faults();
    return true;
  }
  if (Name == "slow_factor")
    return parseNumber(Value, this->ActiveFaults.SlowFactor);
  if (Name == "lie_busy")
    return parseNumber(Value, this->ActiveFaults.ReportedBusy);
  if (Name == "lie_queued")
    return parseNumber(Value, this->ActiveFaults.ReportedQueued);
  bool *Flag = this->findFlag(Name);
  if (Flag == nullptr || (Value != "0" && Value != "1"))
    return false;
  *Flag = Value == "1";
  return true;
}

bool *FaultSwitches::findFlag(const std::string &Name) {
  const std::map<std::string, bool *> Flags = {
      {"shed", &this->ActiveFaults.ShedsSearches},
      {"reset", &this->ActiveFaults.ResetsConnections},
      {"hang", &this->ActiveFaults.HangsSearches},
      {"drain", &this->ActiveFaults.IsDraining},
      {"drain_shed", &this->ActiveFaults.IsDrainingAndShedding},
      {"wrong_snapshot", &this->ActiveFaults.RepliesWrongSnapshot},
      {"wrong_range", &this->ActiveFaults.RepliesWrongRange},
      {"wrong_attempt", &this->ActiveFaults.RepliesWrongAttempt},
  };
  const auto Found = Flags.find(Name);
  return Found == Flags.end() ? nullptr : Found->second;
}

} // namespace acaciacross::standins
