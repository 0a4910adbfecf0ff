#include "Programs/LoadGenerator/ArrivalSchedule.h"

namespace acaciacross::loadgenerator {

namespace {

std::vector<double> weights(const std::vector<ClassShare> &Mix) {
  std::vector<double> Weights;
  Weights.reserve(Mix.size());
  for (const ClassShare &Share : Mix)
    Weights.push_back(Share.Weight);
  return Weights;
}

} // namespace

ArrivalSchedule::ArrivalSchedule(const LoadSettings &Settings)
    : Engine(Settings.Seed), GapSeconds(Settings.RequestsPerSecond),
      Duration(Settings.Duration), RequestsLeft(Settings.MaxRequests) {
  const std::vector<double> Weights = weights(Settings.Mix);
  this->ClassIndex = {Weights.begin(), Weights.end()};
}

std::optional<Arrival> ArrivalSchedule::next() {
  this->Elapsed +=
      std::chrono::duration<double>(this->GapSeconds(this->Engine));
  if (this->RequestsLeft == 0 || this->Elapsed > this->Duration)
    return std::nullopt;
  --this->RequestsLeft;
  return Arrival{
      std::chrono::duration_cast<std::chrono::microseconds>(this->Elapsed),
      this->ClassIndex(this->Engine)};
}

} // namespace acaciacross::loadgenerator
