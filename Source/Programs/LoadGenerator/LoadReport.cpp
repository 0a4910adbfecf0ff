#include "Programs/LoadGenerator/LoadReport.h"

#include "Json/JsonWriter.h"

#include <array>
#include <iomanip>
#include <sstream>

namespace acaciacross::loadgenerator {

namespace {

constexpr std::array<std::pair<const char *, double>, 4> Percentiles = {
    {{"p50_ms", 50.0}, {"p95_ms", 95.0}, {"p99_ms", 99.0}, {"max_ms", 100.0}}};

double milliseconds(std::chrono::microseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

void LoadReport::addAnswer(const std::string &Class, const std::string &Outcome,
                           std::chrono::microseconds Latency, double Coverage) {
  ClassResult &Result = this->Classes[Class];
  Result.Latencies.push_back(Latency);
  Result.CoverageSum += Coverage;
  ++Result.Outcomes[Outcome];
}

void LoadReport::addWithoutAnswer(const std::string &Class,
                                  const std::string &Outcome) {
  ++this->Classes[Class].Outcomes[Outcome];
}

void LoadReport::setAttempts(const AttemptCounts &Counts) {
  this->Attempts = Counts;
}

std::string LoadReport::text() const {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(3);
  for (const auto &[Name, Result] : this->Classes) {
    Text << Name << ": " << Result.Latencies.size() << " answers, coverage "
         << Result.meanCoverage() << '\n'
         << "  latency from the intended send time:";
    for (const auto &[Label, Percent] : Percentiles)
      Text << ' ' << Label << ' ' << milliseconds(Result.percentile(Percent));
    Text << "\n  outcomes:";
    for (const auto &[Outcome, Count] : Result.Outcomes)
      Text << ' ' << Outcome << ' ' << Count;
    Text << '\n';
  }
  Text << "extra load: " << this->extraLoad() << " (" << std::setprecision(0)
       << this->Attempts.Extra << " extra, " << this->Attempts.First
       << " first attempts)\n";
  return Text.str();
}

std::string LoadReport::json() const {
  json::JsonWriter Json;
  Json.beginObject().key("classes").beginArray();
  for (const auto &[Name, Result] : this->Classes) {
    Json.beginObject().key("class").string(Name);
    Json.key("answers").number(
        static_cast<std::uint64_t>(Result.Latencies.size()));
    Json.key("coverage").real(Result.meanCoverage());
    for (const auto &[Label, Percent] : Percentiles)
      Json.key(Label).real(milliseconds(Result.percentile(Percent)));
    Json.key("outcomes").beginObject();
    for (const auto &[Outcome, Count] : Result.Outcomes)
      Json.key(Outcome).number(Count);
    Json.endObject().endObject();
  }
  Json.endArray().key("extra_load").real(this->extraLoad()).endObject();
  return Json.text();
}

std::uint64_t LoadReport::answers() const {
  std::uint64_t Count = 0;
  for (const auto &[Name, Result] : this->Classes)
    Count += Result.Latencies.size();
  return Count;
}

double LoadReport::extraLoad() const {
  return this->Attempts.First > 0 ? this->Attempts.Extra / this->Attempts.First
                                  : 0.0;
}

} // namespace acaciacross::loadgenerator
