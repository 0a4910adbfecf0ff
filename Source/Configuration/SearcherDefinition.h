#ifndef ACACIACROSS_CONFIGURATION_SEARCHERDEFINITION_H
#define ACACIACROSS_CONFIGURATION_SEARCHERDEFINITION_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <cstdint>
#include <string>

namespace acaciacross::configuration {

/// Definition of one searcher in a service document.
struct SearcherDefinition {
  common::SearcherId Id;
  common::Address Endpoint;
  std::string Zone;

  /// Number of requests that the searcher runs at the same time.
  std::uint32_t Slots = 1;
  /// Number of connections that the searcher accepts from all VMs together.
  std::uint32_t MaxConnections = 1;
};

} // namespace acaciacross::configuration

#endif
