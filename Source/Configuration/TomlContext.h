#ifndef ACACIACROSS_CONFIGURATION_TOMLCONTEXT_H
#define ACACIACROSS_CONFIGURATION_TOMLCONTEXT_H

#include "Common/ResultCode.h"

#include <string>

namespace acaciacross::configuration {

/// What every error of one document has in common.
struct TomlContext {
  /// File or key that the text came from.
  std::string Source;
  common::ResultCode Code = common::ResultCode::DocumentInvalid;
};

} // namespace acaciacross::configuration

#endif
