#ifndef ACACIACROSS_CONFIGURATION_CONFIGURATIONCHANGE_H
#define ACACIACROSS_CONFIGURATION_CONFIGURATIONCHANGE_H

#include "Common/Identifiers.h"

#include <string>

namespace acaciacross::configuration {

/// A published revision of the document of one key.
struct ConfigurationChange {
  std::string Key;
  common::Revision Revision;
  /// TOML document of at most 1 MB.
  std::string Text;
};

} // namespace acaciacross::configuration

#endif
