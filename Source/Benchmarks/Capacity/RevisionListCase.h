#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_REVISIONLISTCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_REVISIONLISTCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Configuration/ConfigurationStore.h"

namespace acaciacross::benchmarks {

/// The list of the revisions of all keys, as made in every round of probes for
/// the digest, and as encoded in a pull after a difference below the highest
/// revision.
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
