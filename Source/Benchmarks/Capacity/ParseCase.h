#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_PARSECASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_PARSECASE_H

#include "Benchmarks/Capacity/CapacityCase.h"

#include <string>

namespace acaciacross::benchmarks {

/// Cost of parsing one service document.
class ParseCase final : public CapacityCase {
public:
  explicit ParseCase(std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;
  std::uint64_t encodedBytes() const override;

private:
  std::uint32_t Searchers;
  std::string Text;
};

} // namespace acaciacross::benchmarks

#endif
