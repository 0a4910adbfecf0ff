#ifndef ACACIACROSS_CONFIGURATION_CONFIGURATIONSTORE_H
#define ACACIACROSS_CONFIGURATION_CONFIGURATIONSTORE_H

#include "Configuration/ApplyResult.h"
#include "Configuration/ClassDocument.h"
#include "Configuration/ConfigurationChange.h"
#include "Configuration/ServiceDocument.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciacross::configuration {

/// The configuration in effect: per key the highest valid revision that was
/// ever applied. The contents do not depend on the order of the changes.
class ConfigurationStore {
public:
  using Revisions = std::map<std::string, common::Revision>;
  using Services =
      std::map<common::ServiceName, std::shared_ptr<const ServiceDocument>>;

  ApplyResult apply(const ConfigurationChange &Change);

  /// Changes of the keys whose revision here is above that in Known, in the
  /// order of their revisions.
  std::vector<ConfigurationChange> changesSince(const Revisions &Known) const;

  Revisions revisions() const;
  /// 0 when nothing is in effect.
  common::Revision highestRevision() const;
  /// Equal for equal contents, on every VM.
  std::uint64_t digest() const;

  /// Null until the key "classes" is in effect.
  std::shared_ptr<const ClassDocument> classes() const;
  const Services &services() const;

private:
  /// Throws ConfigurationError.
  void parse(const ConfigurationChange &Change);

  std::map<std::string, ConfigurationChange> InEffect;
  std::shared_ptr<const ClassDocument> Classes;
  Services ServiceDocuments;
};

} // namespace acaciacross::configuration

#endif
