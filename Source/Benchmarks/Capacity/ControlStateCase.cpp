#include "Benchmarks/Capacity/ControlStateCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint32_t SearchersPerService = 480;

} // namespace

ControlStateCase::ControlStateCase(std::uint32_t Count) : Searchers(Count) {}

std::string ControlStateCase::name() const {
  return "control_state." + std::to_string(this->Searchers);
}

std::string ControlStateCase::unit() const { return "searcher"; }

std::uint64_t ControlStateCase::operations() const { return this->Searchers; }

void ControlStateCase::prepare() {
  this->Documents =
      SampleFleet::documents(this->Searchers, SearchersPerService);
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
}

void ControlStateCase::run() {
  for (const configuration::ConfigurationChange &Change : this->Documents)
    this->State->applyConfiguration(Change, "service");
}

} // namespace acaciacross::benchmarks
