#include "Platform/JsonBody.h"

namespace acaciacross::platform {

namespace {

constexpr int MaxNesting = 16;

} // namespace

void checkNesting(const std::string &Body) {
  int Depth = 0;
  bool IsInString = false;
  for (std::size_t I = 0; I < Body.size(); ++I) {
    const char Letter = Body[I];
    if (IsInString && Letter == '\\') {
      ++I;
      continue;
    }
    if (Letter == '"')
      IsInString = !IsInString;
    if (IsInString)
      continue;
    if (Letter == '[' || Letter == '{')
      ++Depth;
    if (Letter == ']' || Letter == '}')
      --Depth;
    if (Depth > MaxNesting)
      throw PlatformError("values nested more than 16 deep");
  }
}

} // namespace acaciacross::platform
