#include "Benchmarks/Capacity/ControlTickCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t TickCount = 200;
constexpr std::uint32_t SearchersPerService = 480;

} // namespace

ControlTickCase::ControlTickCase(std::uint32_t Count) : Searchers(Count) {}

std::string ControlTickCase::name() const {
  return "control_tick." + std::to_string(this->Searchers);
}

std::string ControlTickCase::unit() const { return "tick"; }

std::uint64_t ControlTickCase::operations() const { return TickCount; }

void ControlTickCase::prepare() {
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
  for (const auto &Change :
       SampleFleet::documents(this->Searchers, SearchersPerService))
    this->State->applyConfiguration(Change, "service");
}

void ControlTickCase::run() {
  for (std::uint64_t I = 0; I < TickCount; ++I) {
    this->Clock.advance(std::chrono::milliseconds(50));
    this->State->tick();
  }
}

} // namespace acaciacross::benchmarks
