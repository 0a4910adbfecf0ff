#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERPAGES_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERPAGES_H

#include "StandIns/Http/LaggedValue.h"
#include "StandIns/Searcher/HealthPage.h"
#include "StandIns/Searcher/LoadPage.h"

#include <chrono>
#include <mutex>
#include <optional>

namespace acaciacross::standins {

/// The health and load pages of a searcher. Each shows its contents of some
/// time ago, its lag. Safe to use from several threads.
class SearcherPages {
public:
  SearcherPages(std::chrono::milliseconds HealthLag,
                std::chrono::milliseconds LoadLag);

  void setHealth(common::MonotonicTime Now, HealthPage Page);
  void setLoad(common::MonotonicTime Now, LoadPage Page);

  HealthPage health(common::MonotonicTime Now) const;
  LoadPage load(common::MonotonicTime Now) const;

  void setHealthLag(std::chrono::milliseconds Lag);
  void setLoadLag(std::chrono::milliseconds Lag);
  /// Freezes the health page at its present contents, or lets it follow the
  /// searcher again.
  void freezeHealth(common::MonotonicTime Now, bool IsFrozen);

private:
  mutable std::mutex Mutex;
  std::chrono::milliseconds HealthLag;
  std::chrono::milliseconds LoadLag;
  LaggedValue<HealthPage> Health;
  LaggedValue<LoadPage> Load;
  std::optional<HealthPage> FrozenHealth;
};

} // namespace acaciacross::standins

#endif
