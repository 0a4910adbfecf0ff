#ifndef ACACIACROSS_CONFIGURATION_CLASSDOCUMENTPARSER_H
#define ACACIACROSS_CONFIGURATION_CLASSDOCUMENTPARSER_H

#include "Configuration/ClassDocument.h"

#include <string>

namespace acaciacross::configuration {

/// Reads the document of the key "classes".
class ClassDocumentParser {
public:
  /// Source names the file or key in errors. Throws ConfigurationError.
  static ClassDocument parse(const std::string &Text,
                             const std::string &Source);
};

} // namespace acaciacross::configuration

#endif
