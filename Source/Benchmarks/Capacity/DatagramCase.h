#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_DATAGRAMCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_DATAGRAMCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Peering/PeerDatagram.h"

namespace acaciacross::benchmarks {

/// Cost of encoding and decoding a probe or an acknowledgement.
class DatagramCase final : public CapacityCase {
public:
  DatagramCase(bool IsAck, std::uint32_t Updates, std::uint32_t Drains);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;
  std::uint64_t encodedBytes() const override;

private:
  bool IsAck;
  std::uint32_t Updates;
  std::uint32_t Drains;
  peering::PeerDatagram Message;
  std::uint64_t Bytes = 0;
};

} // namespace acaciacross::benchmarks

#endif
