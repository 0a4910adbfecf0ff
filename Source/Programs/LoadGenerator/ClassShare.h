#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_CLASSSHARE_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_CLASSSHARE_H

#include "Common/Identifiers.h"

#include <optional>
#include <string_view>
#include <vector>

namespace acaciacross::loadgenerator {

/// One class of the request mix with its weight.
struct ClassShare {
  common::ClassName Name;
  double Weight = 1.0;
  bool NeedsTicket = false;

  /// Parses "name:weight[:ticket],..."; empty when the text is malformed.
  static std::optional<std::vector<ClassShare>> parseMix(std::string_view Text);
};

} // namespace acaciacross::loadgenerator

#endif
