#ifndef ACACIACROSS_PLATFORM_JSONBODY_H
#define ACACIACROSS_PLATFORM_JSONBODY_H

#include "Platform/PlatformError.h"

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>

namespace acaciacross::platform {

/// Throws PlatformError when values are nested so deeply that the parser, which
/// is recursive, could use up the stack.
void checkNesting(const std::string &Body);

/// Reads a JSON object whose members Content's load function names; members of
/// other names are passed over. Throws PlatformError.
template <typename Content> Content decodeJson(const std::string &Body) {
  checkNesting(Body);
  Content Decoded;
  try {
    std::istringstream Input(Body);
    cereal::JSONInputArchive Archive(Input);
    Decoded.load(Archive);
  } catch (const std::exception &Error) {
    throw PlatformError(std::string("not the expected JSON: ") + Error.what());
  }
  return Decoded;
}

} // namespace acaciacross::platform

#endif
