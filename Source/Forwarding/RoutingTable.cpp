#include "Forwarding/RoutingTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace acaciacross::forwarding {

RoutingTable::RoutingTable(
    std::uint64_t Version, std::vector<Route> Routes,
    std::map<common::ServiceName, unsigned> MaxConnections, CallerLimits Limits)
    : Number(Version), All(std::move(Routes)),
      Connections(std::move(MaxConnections)), Bounds(Limits) {
  for (std::size_t I = 0; I < this->All.size(); ++I)
    this->ByPrefix.emplace(keyOf(this->All[I].Host, this->All[I].Prefix), I);
}

std::uint64_t RoutingTable::version() const { return this->Number; }

// Prefixes end with a slash, so only the parts of the path up to each slash can
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
      return &this->All[Found->second];
    Path = Path.substr(0, Slash);
  }
}

const unsigned *
RoutingTable::maxConnections(const common::ServiceName &Service) const {
  const auto Found = this->Connections.find(Service);
  return Found == this->Connections.end() ? nullptr : &Found->second;
}

const CallerLimits &RoutingTable::limits() const { return this->Bounds; }

const std::vector<Route> &RoutingTable::routes() const { return this->All; }

std::string RoutingTable::keyOf(std::string_view Host,
                                std::string_view Prefix) {
  std::string Key(Host);
  std::ranges::transform(Key, Key.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  Key.append(" ").append(Prefix);
  return Key;
}

} // namespace acaciacross::forwarding
