#include "Benchmarks/Capacity/ApplyCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"
#include <stdexcept>

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint32_t SearchersPerService = 480;
constexpr std::uint32_t DocumentCount = 10;
constexpr std::uint32_t ServiceNumber = 9'000;
constexpr std::uint64_t FirstRevision = 100'000;

} // namespace

ApplyCase::ApplyCase(std::uint32_t Count, std::uint32_t KnownCount)
    : Searchers(Count), KnownSearchers(KnownCount) {}

std::string ApplyCase::name() const {
  return "apply." + std::to_string(this->Searchers) + "_beside_" +
         std::to_string(this->KnownSearchers);
}

std::string ApplyCase::unit() const { return "document"; }

std::uint64_t ApplyCase::operations() const { return DocumentCount; }

// Each document replaces one searcher of the previous document.
void ApplyCase::prepare() {
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
  for (const auto &Change :
       SampleFleet::documents(this->KnownSearchers, SearchersPerService))
    this->State->applyConfiguration(Change, "service");
  for (std::uint32_t I = 0; I <= DocumentCount; ++I)
    this->Changes.push_back(
        SampleFleet::service(ServiceNumber, this->KnownSearchers + I,
                             this->Searchers, FirstRevision + I));
  this->State->applyConfiguration(this->Changes.front(), "service");
  this->Changes.erase(this->Changes.begin());
}

void ApplyCase::run() {
  for (const configuration::ConfigurationChange &Change : this->Changes) {
    const auto Result = this->State->applyConfiguration(Change, "service");
    if (Result.Outcome != configuration::ApplyOutcome::Accepted)
      throw std::logic_error("document refused: " + Result.Message);
    this->State->buildView();
  }
}

std::uint64_t ApplyCase::encodedBytes() const {
  std::uint64_t Bytes = 0;
  for (const configuration::ConfigurationChange &Change : this->Changes)
    Bytes += Change.Text.size();
  return Bytes;
}

} // namespace acaciacross::benchmarks
