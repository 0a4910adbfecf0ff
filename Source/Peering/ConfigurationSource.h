#ifndef ACACIACROSS_PEERING_CONFIGURATIONSOURCE_H
#define ACACIACROSS_PEERING_CONFIGURATIONSOURCE_H

#include "Peering/ConfigurationChangesMessage.h"
#include "Peering/ConfigurationPullMessage.h"

namespace acaciacross::peering {

/// Provides the configuration that a transfer server sends.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  /// The keys that are newer here than at the peer, in the order of their
  /// revisions, or all keys.
  virtual ConfigurationChangesMessage
  changesFor(const ConfigurationPullMessage &Pull) = 0;
};

} // namespace acaciacross::peering

#endif
