#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_REVISIONLISTCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_REVISIONLISTCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Configuration/ConfigurationStore.h"

namespace acaciacross::benchmarks {

/// Cost of listing the revisions of all keys and encoding the list. Every round
/// of probes makes the list for the digest; a pull carries it
/// after a difference below the highest revision.
class RevisionListCase final : public CapacityCase {
public:
  explicit RevisionListCase(std::uint32_t Keys);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;
  std::uint64_t encodedBytes() const override;

private:
  std::uint32_t Keys;
  configuration::ConfigurationStore Store;
  std::uint64_t Bytes = 0;
};

} // namespace acaciacross::benchmarks

#endif
