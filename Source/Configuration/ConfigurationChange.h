#ifndef ACACIACROSS_CONFIGURATION_CONFIGURATIONCHANGE_H
#define ACACIACROSS_CONFIGURATION_CONFIGURATIONCHANGE_H

#include "Common/Identifiers.h"

#include <string>

namespace acaciacross::configuration {

/// One published value of one key.
struct ConfigurationChange {
  std::string Key;
  common::Revision Number;
  /// TOML, at most 1 MB.
  std::string Text;
};

} // namespace acaciacross::configuration

#endif
