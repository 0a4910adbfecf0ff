#ifndef ACACIACROSS_FORWARDING_ROUTINGTABLE_H
#define ACACIACROSS_FORWARDING_ROUTINGTABLE_H

#include "Common/Identifiers.h"
#include "Forwarding/CallerLimits.h"
#include "Forwarding/ColdStartTolerance.h"
#include "Forwarding/Route.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace acaciacross::forwarding {

/// One version of the routes and limits. Immutable.
class RoutingTable {
public:
  using ColdStartMap = std::map<common::ServiceName, ColdStartTolerance>;

  /// MaxConnections: connections that each searcher of a service accepts from
  /// all VMs together. ColdStarts: the services whose searchers state what they
  /// tolerate while they are cold.
  RoutingTable(std::uint64_t Version, std::vector<Route> Routes,
               std::map<common::ServiceName, unsigned> MaxConnections,
               CallerLimits Limits, ColdStartMap ColdStarts = {});

  std::uint64_t version() const;
  /// Returns the route of the host with the longest matching path prefix; null
  /// when there is none. Host may include a port, Target a query string.
  const Route *match(std::string_view Host, std::string_view Target) const;
  /// Regions that all routes of the host with homes allow; empty optional when
  /// no route of the host has homes. Host may include a port.
  std::optional<std::vector<std::string>> homesOf(std::string_view Host) const;
  /// Null for a service that no route uses.
  const unsigned *maxConnections(const common::ServiceName &Service) const;
  /// Null for a service that states no tolerance.
  const ColdStartTolerance *coldStart(const common::ServiceName &Service) const;
  const ColdStartMap &coldStarts() const;
  const CallerLimits &limits() const;
  const std::vector<Route> &routes() const;

private:
  /// Narrows the homes of the route's host to those of the route.
  void addHomes(const Route &Target);
  static std::string keyOf(std::string_view Host, std::string_view Prefix);

  std::uint64_t VersionNumber;
  std::vector<Route> Routes;
  std::map<common::ServiceName, unsigned> MaxConnections;
  CallerLimits Limits;
  ColdStartMap ColdStarts;
  std::unordered_map<std::string, std::size_t> ByPrefix;
  /// By host name in lower case.
  std::unordered_map<std::string, std::vector<std::string>> HomesByHost;
};

} // namespace acaciacross::forwarding

#endif
