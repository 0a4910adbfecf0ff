#include "Forwarding/RoutingTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace acaciacross::forwarding {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::ranges::transform(Result, Result.begin(), [](unsigned char Char) {
    return static_cast<char>(std::tolower(Char));
  });
  return Result;
}

} // namespace

RoutingTable::RoutingTable(
    std::uint64_t Version, std::vector<Route> Routes,
    std::map<common::ServiceName, unsigned> MaxConnections, CallerLimits Limits,
    ColdStartMap ColdStarts)
    : VersionNumber(Version), Routes(std::move(Routes)),
      MaxConnections(std::move(MaxConnections)), Limits(Limits),
      ColdStarts(std::move(ColdStarts)) {
  for (std::size_t I = 0; I < this->Routes.size(); ++I)
    this->ByPrefix.emplace(keyOf(this->Routes[I].Host, this->Routes[I].Prefix),
                           I);
  for (const Route &Target : this->Routes)
    this->addHomes(Target);
}

std::uint64_t RoutingTable::version() const { return this->VersionNumber; }

// Prefixes end with a slash, so only the path up to each of its slashes can
// match.
const Route *RoutingTable::match(std::string_view Host,
                                 std::string_view Target) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  while (true) {
    const std::size_t Slash = Path.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    Path = Path.substr(0, Slash + 1);
    const auto Found = this->ByPrefix.find(keyOf(Name, Path));
    if (Found != this->ByPrefix.end())
      return &this->Routes[Found->second];
    Path = Path.substr(0, Slash);
  }
}

std::optional<std::vector<std::string>>
RoutingTable::homesOf(std::string_view Host) const {
  const auto Found =
      this->HomesByHost.find(lowerCase(Host.substr(0, Host.find(':'))));
  if (Found == this->HomesByHost.end())
    return std::nullopt;
  return Found->second;
}

const unsigned *
RoutingTable::maxConnections(const common::ServiceName &Service) const {
  const auto Found = this->MaxConnections.find(Service);
  return Found == this->MaxConnections.end() ? nullptr : &Found->second;
}

const ColdStartTolerance *
RoutingTable::coldStart(const common::ServiceName &Service) const {
  const auto Found = this->ColdStarts.find(Service);
  return Found == this->ColdStarts.end() ? nullptr : &Found->second;
}

const RoutingTable::ColdStartMap &RoutingTable::coldStarts() const {
  return this->ColdStarts;
}

const CallerLimits &RoutingTable::limits() const { return this->Limits; }

const std::vector<Route> &RoutingTable::routes() const { return this->Routes; }

// A caller chooses its VM by the host, before it is known which of the routes
// its requests take.
void RoutingTable::addHomes(const Route &Target) {
  if (Target.AllowedRegions.empty())
    return;
  const auto [Homes, IsFirst] = this->HomesByHost.try_emplace(
      lowerCase(Target.Host), Target.AllowedRegions);
  if (IsFirst)
    return;
  std::erase_if(Homes->second, [&Target](const std::string &Region) {
    return std::ranges::count(Target.AllowedRegions, Region) == 0;
  });
}

std::string RoutingTable::keyOf(std::string_view Host,
                                std::string_view Prefix) {
  std::string Key = lowerCase(Host);
  Key.append(" ").append(Prefix);
  return Key;
}

} // namespace acaciacross::forwarding
