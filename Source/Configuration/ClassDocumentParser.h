#ifndef ACACIACROSS_CONFIGURATION_CLASSDOCUMENTPARSER_H
#define ACACIACROSS_CONFIGURATION_CLASSDOCUMENTPARSER_H

#include "Configuration/ClassDocument.h"

#include <string>

namespace acaciacross::configuration {

/// Parses the document of the key "classes".
class ClassDocumentParser {
public:
  /// Source is the file or key that error messages name. Throws
  /// ConfigurationError.
  static ClassDocument parse(const std::string &Text,
                             const std::string &Source);
};

} // namespace acaciacross::configuration

#endif
