#ifndef ACACIACROSS_PEERING_CONFIGURATIONSOURCE_H
#define ACACIACROSS_PEERING_CONFIGURATIONSOURCE_H

#include "Peering/ConfigurationChangesMessage.h"
#include "Peering/ConfigurationPullMessage.h"

namespace acaciacross::peering {

/// What a transfer server hands out.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  /// The keys that are newer here, in the order of their revisions, or all.
  virtual ConfigurationChangesMessage
  changesFor(const ConfigurationPullMessage &Pull) = 0;
};

} // namespace acaciacross::peering

#endif
