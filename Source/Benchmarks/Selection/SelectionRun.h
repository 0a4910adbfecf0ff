#ifndef ACACIACROSS_BENCHMARKS_SELECTION_SELECTIONRUN_H
#define ACACIACROSS_BENCHMARKS_SELECTION_SELECTIONRUN_H

#include "Common/SeededRandom.h"
#include "Routing/PowerOfTwoSelector.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace acaciacross::benchmarks {

/// Replica choices over 160 shards, with part of the searchers ejected and half
/// of the slots in use.
class SelectionRun {
public:
  explicit SelectionRun(std::uint32_t Searchers);

  void choose(std::uint64_t Choices);
  /// Calls of operator new within the choices.
  std::uint64_t allocations() const;
  /// Mean wall time of a choice; depends on the machine.
  std::chrono::nanoseconds meanTime() const;

private:
  void chooseOne();

  common::SeededRandom Random;
  routing::PowerOfTwoSelector Selector;
  std::shared_ptr<query::ServiceView> View;
  /// What runs, as a ring; empty places hold no searcher yet.
  std::vector<std::optional<common::SearcherIndex>> Running;
  std::uint64_t Chosen = 0;
  std::uint64_t Allocations = 0;
  std::chrono::nanoseconds Time{0};
};

} // namespace acaciacross::benchmarks

#endif
