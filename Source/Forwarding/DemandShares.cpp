#include "Forwarding/DemandShares.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace acaciacross::forwarding {

namespace {

// Counts below this are of requests long ago.
constexpr double FadedCount = 0.1;
constexpr std::chrono::seconds DropPeriod{1};
// Limits memory. Callers beyond this are not told apart from those within their
// share.
constexpr std::size_t MaxCallers = 4'096;

// Fewer recent requests tell nothing of how much a caller asks for, or how
// often a route is served: one refused request of a route that is hardly used
// would make all others leave room for it.
constexpr double MinTellingCount = 10.0;
// Callers differ in how many people use them; only clearly more than the mean
// is pressing.
constexpr double PressingFactor = 2.0;

std::vector<common::ServiceName> servicesOf(const Route &Target) {
  if (Target.Gather)
    return Target.Gather->Shards;
  std::vector<common::ServiceName> Services;
  for (const WeightedService &Weighted : Target.Services)
    Services.push_back(Weighted.Service);
  return Services;
}

bool haveCommon(std::span<const common::ServiceName> Some,
                std::span<const common::ServiceName> Others) {
  return std::ranges::any_of(Some, [&](const auto &Service) {
    return std::ranges::find(Others, Service) != Others.end();
  });
}

} // namespace

void DemandShares::record(const ForwardRequest &Request, bool IsAdmitted,
                          common::MonotonicTime Now) {
  if (Now >= this->NextDropAt)
    this->dropFaded(Now);
  const Route &Target = *Request.Target;
  const auto [Found, IsNew] = this->Routes.try_emplace(Target.Name);
  RouteDemand &Demand = Found->second;
  const std::uint64_t Version = Request.Table->version();
  if (IsNew || Demand.Version != Version) {
    Demand.Target = Target;
    Demand.Services = servicesOf(Target);
    Demand.Version = Version;
  }
  Demand.Share.record(IsAdmitted, Now);
  CallerMap &Callers = this->CallersByRoute[Target.Name];
  const auto Caller = Callers.find(Request.Caller);
  if (Caller != Callers.end()) {
    Caller->second.record(IsAdmitted, Now);
  } else if (this->CallerCount < MaxCallers) {
    Callers[Request.Caller].record(IsAdmitted, Now);
    ++this->CallerCount;
  }
}

const Route *DemandShares::yieldsTo(
    const ForwardRequest &Request,
    std::span<const common::ServiceName> Services, common::MonotonicTime Now,
    const std::function<bool(const RouteDemand &)> &IsShort) const {
  const Route &Target = *Request.Target;
  std::vector<const RouteDemand *> Others;
  ServedShare Own;
  ServedShare All;
  for (const auto &[Name, Demand] : this->Routes) {
    const ServedShare Share = Demand.Share.at(Now);
    if (Name == Target.Name)
      Own = Share;
    else if (Demand.Target.Priority != Target.Priority &&
             Share.Asked >= MinTellingCount &&
             haveCommon(Demand.Services, Services))
      Others.push_back(&Demand);
    else
      continue;
    All.Asked += Share.Asked;
    All.Served += Share.Served;
  }
  if (Others.empty() || Own.isStarved(All))
    return nullptr;
  for (const RouteDemand *Other : Others) {
    const ServedShare Share = Other->Share.at(Now);
    const bool MustYield =
        Other->Target.Priority < Target.Priority
            ? Own.ratio() > Share.ratio()
            : Share.isStarved(All) && Own.ratio() >= All.ratio();
    if (MustYield && IsShort(*Other))
      return &Other->Target;
  }
  return nullptr;
}

bool DemandShares::isPressing(const ForwardRequest &Request,
                              common::MonotonicTime Now) const {
  const auto Callers = this->CallersByRoute.find(Request.Target->Name);
  const auto Demand = this->Routes.find(Request.Target->Name);
  if (Callers == this->CallersByRoute.end() || Demand == this->Routes.end())
    return false;
  const auto Found = Callers->second.find(Request.Caller);
  if (Found == Callers->second.end())
    return false;
  const double Own = Found->second.at(Now).Served;
  const double Mean = Demand->second.Share.at(Now).Served /
                      static_cast<double>(Callers->second.size());
  return Own >= MinTellingCount && Own > PressingFactor * Mean;
}

void DemandShares::dropFaded(common::MonotonicTime Now) {
  this->NextDropAt = Now + DropPeriod;
  const auto IsFaded = [&](const RecentShare &Share) {
    return Share.at(Now).Asked < FadedCount;
  };
  std::erase_if(this->Routes,
                [&](const auto &Entry) { return IsFaded(Entry.second.Share); });
  this->CallerCount = 0;
  for (auto &[Name, Callers] : this->CallersByRoute) {
    std::erase_if(Callers,
                  [&](const auto &Entry) { return IsFaded(Entry.second); });
    this->CallerCount += Callers.size();
  }
  std::erase_if(this->CallersByRoute,
                [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace acaciacross::forwarding
