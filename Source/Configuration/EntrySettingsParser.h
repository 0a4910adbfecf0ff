#ifndef ACACIACROSS_CONFIGURATION_ENTRYSETTINGSPARSER_H
#define ACACIACROSS_CONFIGURATION_ENTRYSETTINGSPARSER_H

#include "Configuration/EntrySettings.h"

#include <string>

namespace acaciacross::configuration {

/// Parses the settings file of an entry VM.
class EntrySettingsParser {
public:
  /// Source is the file that error messages name. Throws ConfigurationError.
  static EntrySettings parse(const std::string &Text,
                             const std::string &Source);
};

} // namespace acaciacross::configuration

#endif
