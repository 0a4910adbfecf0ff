#include "Benchmarks/BoundsFile.h"

#include "Common/Error.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace acaciacross::benchmarks {

namespace {

bool isWithin(const Bound &Limit, double Value) {
  return Limit.IsUpper ? Value <= Limit.Limit : Value >= Limit.Limit;
}

} // namespace

BoundsFile::BoundsFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw common::Error(common::ResultCode::SettingInvalid,
                        Path + ": can't be read");
  std::string Line;
  for (int Number = 1; std::getline(File, Line); ++Number) {
    std::istringstream Words(Line.substr(0, Line.find('#')));
    Bound Read;
    std::string Relation;
    if (!(Words >> Read.Name))
      continue;
    const bool IsComplete = static_cast<bool>(Words >> Relation >> Read.Limit);
    if (!IsComplete || (Relation != "<=" && Relation != ">="))
      throw common::Error(common::ResultCode::SettingInvalid,
                          Path + ":" + std::to_string(Number) +
                              ": must be: name <= limit, or name >= limit");
    Read.IsUpper = Relation == "<=";
    this->Bounds.push_back(Read);
  }
}

bool BoundsFile::check(const std::vector<Measurement> &Measured) const {
  bool IsGood = true;
  for (const Measurement &Each : Measured) {
    const auto Limit = std::find_if(
        this->Bounds.begin(), this->Bounds.end(),
        [&](const Bound &Known) { return Known.Name == Each.Name; });
    if (Limit == this->Bounds.end()) {
      std::printf("%-34s %12.4f\n", Each.Name.c_str(), Each.Value);
      continue;
    }
    const bool IsKept = isWithin(*Limit, Each.Value);
    std::printf("%-34s %12.4f  %s %.4f  %s\n", Each.Name.c_str(), Each.Value,
                Limit->IsUpper ? "<=" : ">=", Limit->Limit,
                IsKept ? "ok" : "VIOLATED");
    IsGood = IsGood && IsKept;
  }
  for (const Bound &Limit : this->Bounds) {
    const bool IsMeasured = std::any_of(
        Measured.begin(), Measured.end(),
        [&](const Measurement &Each) { return Each.Name == Limit.Name; });
    if (IsMeasured)
      continue;
    std::printf("%-34s  not measured\n", Limit.Name.c_str());
    IsGood = false;
  }
  return IsGood;
}

} // namespace acaciacross::benchmarks
