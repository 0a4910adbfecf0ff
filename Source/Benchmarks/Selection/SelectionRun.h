#ifndef ACACIACROSS_BENCHMARKS_SELECTION_SELECTIONRUN_H
#define ACACIACROSS_BENCHMARKS_SELECTION_SELECTIONRUN_H

#include "Common/SeededRandom.h"
#include "Routing/PowerOfTwoSelector.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace acaciacross::benchmarks {

/// Measures replica choices over 160 shards while some searchers are ejected
/// and half of the slots are in use.
class SelectionRun {
public:
  explicit SelectionRun(std::uint32_t Searchers);

  void choose(std::uint64_t Choices);
  /// Number of calls of operator new during the choices.
  std::uint64_t allocations() const;
  /// Mean wall time per choice in the last call of choose(); depends on the VM.
  std::chrono::nanoseconds meanTime() const;

private:
  void chooseOne();

  common::SeededRandom Random;
  routing::PowerOfTwoSelector Selector;
  std::shared_ptr<query::ServiceView> View;
  /// Ring buffer of the searchers of running attempts; empty where no attempt
  /// runs.
  std::vector<std::optional<common::SearcherIndex>> RunningAttempts;
  std::uint64_t ChoiceCount = 0;
  std::uint64_t Allocations = 0;
  std::chrono::nanoseconds MeanTime{0};
};

} // namespace acaciacross::benchmarks

#endif
