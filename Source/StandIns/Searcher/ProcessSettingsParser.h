#ifndef ACACIACROSS_STANDINS_SEARCHER_PROCESSSETTINGSPARSER_H
#define ACACIACROSS_STANDINS_SEARCHER_PROCESSSETTINGSPARSER_H

#include "StandIns/Searcher/ProcessSettings.h"

#include <string_view>

namespace acaciacross::standins {

/// Reads the settings file of standin-searcher.
class ProcessSettingsParser {
public:
  /// Throws common::Error, which names the line, when the text is not valid.
  static ProcessSettings parse(std::string_view Text);
};

} // namespace acaciacross::standins

#endif
