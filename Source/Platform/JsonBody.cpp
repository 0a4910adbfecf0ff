#include "Platform/JsonBody.h"

namespace acaciacross::platform {

namespace {

constexpr int MaxNesting = 16;

} // namespace

void checkNesting(const std::string &Body) {
  int Depth = 0;
  bool IsInString = false;
  for (std::size_t I = 0; I < Body.size(); ++I) {
    const char Character = Body[I];
    if (IsInString && Character == '\\') {
      ++I;
      continue;
    }
    if (Character == '"')
      IsInString = !IsInString;
    if (IsInString)
      continue;
    if (Character == '[' || Character == '{')
      ++Depth;
    if (Character == ']' || Character == '}')
      --Depth;
    if (Depth > MaxNesting)
      throw PlatformError("values nested more than 16 deep");
  }
}

} // namespace acaciacross::platform
