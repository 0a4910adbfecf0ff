#include "Benchmarks/Capacity/SearcherStateCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t NoticeCount = 20;
constexpr std::uint32_t SearcherCount = 4'800;

} // namespace

SearcherStateCase::SearcherStateCase(std::uint32_t Count)
    : SearchersPerService(Count) {}

std::string SearcherStateCase::name() const {
  return "searcher_state.service_of_" +
         std::to_string(this->SearchersPerService);
}

std::string SearcherStateCase::unit() const { return "change"; }

std::uint64_t SearcherStateCase::operations() const { return NoticeCount; }

void SearcherStateCase::prepare() {
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
  for (const auto &Change :
       SampleFleet::documents(SearcherCount, this->SearchersPerService))
    this->State->applyConfiguration(Change, "service");
}

void SearcherStateCase::run() {
  for (std::uint32_t I = 0; I < NoticeCount; ++I) {
    this->State->applyDrainNotice(SampleFleet::searcherId(I),
                                  std::chrono::milliseconds(100));
    this->State->buildView();
  }
}

} // namespace acaciacross::benchmarks
