#include "Benchmarks/Capacity/VmListCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"
#include "Platform/VmListDecoder.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint32_t SearchersPerService = 480;

} // namespace

VmListCase::VmListCase(std::uint32_t Count) : Vms(Count) {}

std::string VmListCase::name() const {
  return "vm_list." + std::to_string(this->Vms);
}

std::string VmListCase::unit() const { return "VM"; }

std::uint64_t VmListCase::operations() const { return this->Vms; }

void VmListCase::prepare() {
  this->State = std::make_unique<control::ControlState>(SampleFleet::settings(),
                                                        this->Clock);
  for (const auto &Change :
       SampleFleet::documents(this->Vms, SearchersPerService))
    this->State->applyConfiguration(Change, "service");
  this->Body = SampleFleet::vmList(this->Vms);
}

void VmListCase::run() {
  this->State->applyVmList(platform::VmListDecoder::decode(this->Body));
}

std::uint64_t VmListCase::encodedBytes() const { return this->Body.size(); }

} // namespace acaciacross::benchmarks
