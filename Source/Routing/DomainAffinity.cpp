#include "Routing/DomainAffinity.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace acaciacross::routing {

namespace {

// A single VM would leave its callers without another address when it is lost.
constexpr std::size_t MinLocalVms = 2;
// Up to this mean load of the VMs of a failure domain, in thousandths, its
// callers are named one other VM only, as a reserve.
constexpr double ModerateLoadPerMille = 300.0;
// Callers choose among the named VMs at random. For each VM of the domain one
// more of another domain is named for every step of load above the moderate
// one.
constexpr double LoadStepPerMille = 100.0;
// Callers follow an answer within some seconds. Without smoothing the load
// would swing between the domains.
constexpr std::chrono::milliseconds SmoothingTime{3'000};

} // namespace

std::vector<AddressCandidate>
DomainAffinity::apply(std::vector<AddressCandidate> Candidates,
                      const std::string &CallerDomain,
                      common::MonotonicTime Now) {
  std::vector<AddressCandidate> Local;
  std::vector<AddressCandidate> Others;
  for (const AddressCandidate &Candidate : Candidates)
    (Candidate.FailureDomain == CallerDomain ? Local : Others)
        .push_back(Candidate);
  if (Local.size() < MinLocalVms)
    return Candidates;
  Others.resize(std::min(Others.size(), this->otherVmCount(Local, Now)));
  std::ranges::move(Others, std::back_inserter(Local));
  return Local;
}

std::size_t
DomainAffinity::otherVmCount(const std::vector<AddressCandidate> &Local,
                             common::MonotonicTime Now) {
  double Current = 0.0;
  for (const AddressCandidate &Candidate : Local)
    Current += Candidate.BusyPerMille;
  Current /= static_cast<double>(Local.size());
  const auto [Entry, IsNew] = this->Loads.try_emplace(
      Local.front().FailureDomain, SmoothedLoad{Current, Now});
  SmoothedLoad &Load = Entry->second;
  const std::chrono::duration<double> Age = Now - Load.At;
  const double Weight =
      1.0 - std::exp(-Age / std::chrono::duration<double>(SmoothingTime));
  Load.PerMille += Weight * (Current - Load.PerMille);
  Load.At = Now;
  const double Steps =
      std::max(0.0, Load.PerMille - ModerateLoadPerMille) / LoadStepPerMille;
  return static_cast<std::size_t>(
      std::max(1.0, std::ceil(Steps * static_cast<double>(Local.size()))));
}

} // namespace acaciacross::routing
