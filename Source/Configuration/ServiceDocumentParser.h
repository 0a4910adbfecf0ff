#ifndef ACACIACROSS_CONFIGURATION_SERVICEDOCUMENTPARSER_H
#define ACACIACROSS_CONFIGURATION_SERVICEDOCUMENTPARSER_H

#include "Configuration/ServiceDocument.h"

#include <string>

namespace acaciacross::configuration {

/// Parses the document of a key "service/<name>".
class ServiceDocumentParser {
public:
  /// Source is the file or key that error messages name. The service name is
  /// the part of Source after "service/", or all of Source without that prefix.
  /// Throws ConfigurationError.
  static ServiceDocument parse(const std::string &Text,
                               const std::string &Source);
};

} // namespace acaciacross::configuration

#endif
