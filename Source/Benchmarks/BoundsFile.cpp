#include "Benchmarks/BoundsFile.h"

#include "Common/Error.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace acaciacross::benchmarks {

namespace {

bool isWithin(const Bound &Allowed, double Value) {
  return Allowed.IsUpper ? Value <= Allowed.Limit : Value >= Allowed.Limit;
}

} // namespace

BoundsFile::BoundsFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw common::Error(common::ResultCode::SettingInvalid,
                        Path + ": cannot be opened");
  std::string Line;
  for (int LineNumber = 1; std::getline(File, Line); ++LineNumber) {
    std::istringstream Fields(Line.substr(0, Line.find('#')));
    Bound Parsed;
    std::string Relation;
    if (!(Fields >> Parsed.Name))
      continue;
    const bool IsComplete =
        static_cast<bool>(Fields >> Relation >> Parsed.Limit);
    if (!IsComplete || (Relation != "<=" && Relation != ">="))
      throw common::Error(
          common::ResultCode::SettingInvalid,
          Path + ":" + std::to_string(LineNumber) +
              ": expected \"name <= limit\" or \"name >= limit\"");
    Parsed.IsUpper = Relation == "<=";
    this->Bounds.push_back(Parsed);
  }
}

bool BoundsFile::check(const std::vector<Measurement> &Measured) const {
  bool IsPassed = true;
  for (const Measurement &Figure : Measured) {
    const auto Allowed = std::find_if(
        this->Bounds.begin(), this->Bounds.end(),
        [&](const Bound &Candidate) { return Candidate.Name == Figure.Name; });
    if (Allowed == this->Bounds.end()) {
      std::printf("%-34s %12.4f\n", Figure.Name.c_str(), Figure.Value);
      continue;
    }
    const bool IsMet = isWithin(*Allowed, Figure.Value);
    std::printf("%-34s %12.4f  %s %.4f  %s\n", Figure.Name.c_str(),
                Figure.Value, Allowed->IsUpper ? "<=" : ">=", Allowed->Limit,
                IsMet ? "ok" : "VIOLATED");
    IsPassed = IsPassed && IsMet;
  }
  for (const Bound &Required : this->Bounds) {
    const bool IsMeasured = std::any_of(Measured.begin(), Measured.end(),
                                        [&](const Measurement &Figure) {
                                          return Figure.Name == Required.Name;
                                        });
    if (IsMeasured)
      continue;
    std::printf("%-34s  not measured\n", Required.Name.c_str());
    IsPassed = false;
  }
  return IsPassed;
}

} // namespace acaciacross::benchmarks
