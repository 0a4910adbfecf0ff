#ifndef ACACIACROSS_ROUTING_ADDRESSQUERY_H
#define ACACIACROSS_ROUTING_ADDRESSQUERY_H

#include <string>

namespace acaciacross::routing {

/// What a caller says that asks for the addresses of entry VMs.
struct AddressQuery {
  /// Host of the requests that it will send.
  std::string Host;
  /// Where the caller is; empty when it does not say.
  std::string FailureDomain;
  std::string Region;
};

} // namespace acaciacross::routing

#endif
