#include "Programs/LoadGenerator/AttemptCounts.h"

#include <cstdlib>
#include <sstream>

namespace acaciacross::loadgenerator {

void AttemptCounts::addPage(const std::string &Page) {
  std::istringstream Lines(Page);
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Space = Line.rfind(' ');
    if (Space == std::string::npos)
      continue;
    const double Value = std::strtod(Line.c_str() + Space, nullptr);
    if (Line.starts_with("acaciacross_first_attempts_total"))
      this->First += Value;
    else if (Line.starts_with("acaciacross_extra_attempts_total"))
      this->Extra += Value;
  }
}

} // namespace acaciacross::loadgenerator
