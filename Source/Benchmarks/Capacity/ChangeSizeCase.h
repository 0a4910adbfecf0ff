#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_CHANGESIZECASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_CHANGESIZECASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Configuration/ConfigurationChange.h"

#include <vector>

namespace acaciacross::benchmarks {

/// Size of a peer message that replaces one searcher of a service and carries
/// the whole document or, as a delta, only the differences. The delta encoding
/// is experimental: no module decodes it.
class ChangeSizeCase final : public CapacityCase {
public:
  ChangeSizeCase(std::uint32_t Searchers, bool IsDelta);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;
  std::uint64_t encodedBytes() const override;

private:
  std::uint32_t Searchers;
  bool IsDelta;
  std::vector<configuration::ConfigurationChange> Changes;
  std::uint64_t Bytes = 0;
};

} // namespace acaciacross::benchmarks

#endif
