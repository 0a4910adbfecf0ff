#ifndef ACACIACROSS_PLATFORM_JSONBODY_H
#define ACACIACROSS_PLATFORM_JSONBODY_H

#include "Platform/PlatformError.h"

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>

namespace acaciacross::platform {

/// Throws PlatformError when values are nested so deeply that the recursive
/// parser could overflow the stack.
void checkNesting(const std::string &Body);

/// Decodes a JSON object with the members that the load function of Content
/// names; other members are ignored. Throws PlatformError when the body does
/// not have that form.
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
