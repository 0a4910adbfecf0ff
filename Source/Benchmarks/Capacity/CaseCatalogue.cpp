#include "Benchmarks/Capacity/CaseCatalogue.h"

#include "Benchmarks/Capacity/ApplyCase.h"
#include "Benchmarks/Capacity/AuditTrailCase.h"
#include "Benchmarks/Capacity/ChangeSizeCase.h"
#include "Benchmarks/Capacity/ControlStateCase.h"
#include "Benchmarks/Capacity/ControlTickCase.h"
#include "Benchmarks/Capacity/DatagramCase.h"
#include "Benchmarks/Capacity/EvidenceCase.h"
#include "Benchmarks/Capacity/ParseCase.h"
#include "Benchmarks/Capacity/PeerRecordCase.h"
#include "Benchmarks/Capacity/ProbeRoundCase.h"
#include "Benchmarks/Capacity/PublishCase.h"
#include "Benchmarks/Capacity/QueryCase.h"
#include "Benchmarks/Capacity/ReplicaChoiceCase.h"
#include "Benchmarks/Capacity/RevisionListCase.h"
#include "Benchmarks/Capacity/SearcherStateCase.h"
#include "Benchmarks/Capacity/ServiceViewCase.h"
#include "Benchmarks/Capacity/TransferCase.h"
#include "Benchmarks/Capacity/VmListCase.h"
#include "Control/AuditTrail.h"

namespace acaciacross::benchmarks {

namespace {

using Cases = std::vector<std::unique_ptr<CapacityCase>>;

// Searchers of a large service today, ten times as many, and the number
// expected in two years.
constexpr std::uint32_t SearcherCounts[] = {480, 4'800, 42'000};

void addTrafficCases(Cases &All) {
  for (const std::uint32_t Searchers : SearcherCounts)
    All.push_back(std::make_unique<ReplicaChoiceCase>(Searchers));
  All.push_back(std::make_unique<QueryCase>(10, 30));
  All.push_back(std::make_unique<QueryCase>(160, 480));
  All.push_back(std::make_unique<QueryCase>(160, 42'000));
  for (const std::uint32_t Connections : {1U, 16U, 160U})
    All.push_back(std::make_unique<TransferCase>(Connections));
}

void addStateCases(Cases &All) {
  for (const std::uint32_t Searchers : SearcherCounts) {
    All.push_back(std::make_unique<ControlStateCase>(Searchers));
    All.push_back(std::make_unique<ServiceViewCase>(Searchers));
    All.push_back(std::make_unique<EvidenceCase>(Searchers));
    All.push_back(std::make_unique<ControlTickCase>(Searchers));
  }
  for (const std::uint32_t SearchersPerService : {30U, 480U})
    All.push_back(std::make_unique<SearcherStateCase>(SearchersPerService));
  All.push_back(std::make_unique<AuditTrailCase>(64));
  All.push_back(
      std::make_unique<AuditTrailCase>(control::AuditTrail::MaxTextLength));
}

void addConfigurationCases(Cases &All) {
  for (const std::uint32_t Searchers : {30U, 1'000U}) {
    All.push_back(std::make_unique<ParseCase>(Searchers));
    for (const std::uint32_t KnownSearchers : SearcherCounts)
      All.push_back(std::make_unique<ApplyCase>(Searchers, KnownSearchers));
  }
  All.push_back(std::make_unique<PublishCase>(480, 30, 9));
  All.push_back(std::make_unique<PublishCase>(4'800, 30, 15));
  All.push_back(std::make_unique<PublishCase>(42'000, 480, 15));
  All.push_back(std::make_unique<PublishCase>(4'800, 30, 508));
  for (const std::uint32_t Keys : {9U, 88U, 1'400U})
    All.push_back(std::make_unique<RevisionListCase>(Keys));
  for (const std::uint32_t Searchers : {30U, 480U, 1'000U})
    All.push_back(std::make_unique<ChangeSizeCase>(Searchers, false));
  All.push_back(std::make_unique<ChangeSizeCase>(30, true));
}

void addMembershipCases(Cases &All) {
  for (const bool IsAck : {false, true}) {
    for (const std::uint32_t Updates : {0U, 1U, 4U, 8U})
      All.push_back(std::make_unique<DatagramCase>(IsAck, Updates, 0));
    All.push_back(std::make_unique<DatagramCase>(IsAck, 8, 16));
  }
  for (const std::uint32_t Peers : {9U, 16U, 508U, 6'600U}) {
    All.push_back(std::make_unique<ProbeRoundCase>(Peers));
    All.push_back(std::make_unique<PeerRecordCase>(Peers));
  }
  All.push_back(std::make_unique<VmListCase>(480));
  All.push_back(std::make_unique<VmListCase>(48'600));
}

} // namespace

std::vector<std::unique_ptr<CapacityCase>> CaseCatalogue::make() {
  Cases All;
  addTrafficCases(All);
  addStateCases(All);
  addConfigurationCases(All);
  addMembershipCases(All);
  return All;
}

} // namespace acaciacross::benchmarks
