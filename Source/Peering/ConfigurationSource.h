#ifndef ACACIACROSS_PEERING_CONFIGURATIONSOURCE_H
#define ACACIACROSS_PEERING_CONFIGURATIONSOURCE_H

#include "Configuration/ConfigurationChange.h"
#include "Peering/ConfigurationPullMessage.h"

#include <vector>

namespace acaciacross::peering {

/// What a transfer server hands out.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  /// The keys that are newer here, in the order of their revisions.
  virtual std::vector<configuration::ConfigurationChange>
  changesFor(const ConfigurationPullMessage &Pull) = 0;
};

} // namespace acaciacross::peering

#endif
