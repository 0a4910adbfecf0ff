#ifndef ACACIACROSS_CONFIGURATION_SEARCHERDEFINITION_H
#define ACACIACROSS_CONFIGURATION_SEARCHERDEFINITION_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <cstdint>
#include <string>

namespace acaciacross::configuration {

/// One searcher of a service, as published.
struct SearcherDefinition {
  common::SearcherId Id;
  common::Address Endpoint;
  std::string Zone;

  /// Requests that it runs at the same time.
  std::uint32_t Slots = 1;
  /// Connections that it accepts from everyone together.
  std::uint32_t MaxConnections = 1;
};

} // namespace acaciacross::configuration

#endif
