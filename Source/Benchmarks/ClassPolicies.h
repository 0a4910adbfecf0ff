#ifndef ACACIACROSS_BENCHMARKS_CLASSPOLICIES_H
#define ACACIACROSS_BENCHMARKS_CLASSPOLICIES_H

#include "Benchmarks/BenchClass.h"
#include "Limits/ExtraLoadBudget.h"
#include "Retries/QuantileHedgePolicy.h"

namespace acaciacross::benchmarks {

/// Hedging policy and extra-load budget of one class on one VM.
struct ClassPolicies {
  ClassPolicies(const BenchClass &Settings, std::uint32_t Shards)
      : Settings(Settings),
        Hedging(
            Settings.IsHedged ? Settings.Definition.ExtraLoadTarget : 0.0,
            {std::chrono::milliseconds(1), Settings.Definition.LatencyTarget}),
        Budget(Settings.Definition.ExtraLoadTarget, Shards) {}

  BenchClass Settings;
  retries::QuantileHedgePolicy Hedging;
  limits::ExtraLoadBudget Budget;
};

} // namespace acaciacross::benchmarks

#endif
