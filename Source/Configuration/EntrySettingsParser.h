#ifndef ACACIACROSS_CONFIGURATION_ENTRYSETTINGSPARSER_H
#define ACACIACROSS_CONFIGURATION_ENTRYSETTINGSPARSER_H

#include "Configuration/EntrySettings.h"

#include <string>

namespace acaciacross::configuration {

/// Reads the settings file of an entry VM.
class EntrySettingsParser {
public:
  /// Source names the file in errors. Throws ConfigurationError.
  static EntrySettings parse(const std::string &Text,
                             const std::string &Source);
};

} // namespace acaciacross::configuration

#endif
