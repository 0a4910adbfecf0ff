#ifndef ACACIACROSS_CONFIGURATION_TOMLCONTEXT_H
#define ACACIACROSS_CONFIGURATION_TOMLCONTEXT_H

#include "Common/ResultCode.h"

#include <string>

namespace acaciacross::configuration {

/// Source and result code that all errors of one document have in common.
struct TomlContext {
  /// File or key that the document was read from.
  std::string Source;
  common::ResultCode Code = common::ResultCode::DocumentInvalid;
};

} // namespace acaciacross::configuration

#endif
