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
    this->Target = Faults();
    return true;
  }
  if (Name == "slow_factor")
    return parseNumber(Value, this->Target.SlowFactor);
  if (Name == "lie_busy")
    return parseNumber(Value, this->Target.LieBusy);
  if (Name == "lie_queued")
    return parseNumber(Value, this->Target.LieQueued);
  bool *Switch = this->findSwitch(Name);
  if (Switch == nullptr || (Value != "0" && Value != "1"))
    return false;
  *Switch = Value == "1";
  return true;
}

bool *FaultSwitches::findSwitch(const std::string &Name) {
  const std::map<std::string, bool *> Switches = {
      {"shed", &this->Target.Shed},
      {"reset", &this->Target.Reset},
      {"hang", &this->Target.Hang},
      {"drain", &this->Target.Drain},
      {"drain_shed", &this->Target.DrainShed},
      {"wrong_snapshot", &this->Target.WrongSnapshot},
      {"wrong_range", &this->Target.WrongRange},
      {"wrong_attempt", &this->Target.WrongAttempt},
  };
  const auto Found = Switches.find(Name);
  return Found == Switches.end() ? nullptr : Found->second;
}

} // namespace acaciacross::standins
