#include "Traffic/DrainHeader.h"

#include <strings.h>

namespace acaciacross::traffic {

namespace {

constexpr std::string_view DrainHeader = "x-draining:";

} // namespace

bool isDrainHeader(std::string_view Line) {
  if (Line.size() < DrainHeader.size() ||
      ::strncasecmp(Line.data(), DrainHeader.data(), DrainHeader.size()) != 0)
    return false;
  Line.remove_prefix(DrainHeader.size());
  const std::size_t First = Line.find_first_not_of(" \t");
  if (First == std::string_view::npos || Line[First] != '1')
    return false;
  return Line.find_first_not_of(" \t\r\n", First + 1) == std::string_view::npos;
}

} // namespace acaciacross::traffic
