#ifndef ACACIACROSS_CONFIGURATION_SERVICEDOCUMENTPARSER_H
#define ACACIACROSS_CONFIGURATION_SERVICEDOCUMENTPARSER_H

#include "Configuration/ServiceDocument.h"

#include <string>

namespace acaciacross::configuration {

/// Reads the document of a key "service/<name>".
class ServiceDocumentParser {
public:
  /// Source names the file or key in errors; the service is named by what
  /// follows "service/" in it, or by all of it. Throws ConfigurationError.
  static ServiceDocument parse(const std::string &Text,
                               const std::string &Source);
};

} // namespace acaciacross::configuration

#endif
