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

/// The configuration in effect: for each key the highest valid revision applied
/// so far. The contents do not depend on the order in which changes arrive.
class ConfigurationStore {
public:
  using Revisions = std::map<std::string, common::Revision>;
  using Services =
      std::map<common::ServiceName, std::shared_ptr<const ServiceDocument>>;

  ApplyResult apply(const ConfigurationChange &Change);

  /// Changes in effect that KnownRevisions lacks or has at a lower revision, in
  /// the order of their revisions.
  std::vector<ConfigurationChange>
  changesSince(const Revisions &KnownRevisions) const;

  Revisions revisions() const;
  /// 0 if no change is in effect.
  common::Revision highestRevision() const;
  /// Hash of the contents; VMs with equal contents have equal digests.
  std::uint64_t digest() const;

  /// Null until the key "classes" is in effect.
  std::shared_ptr<const ClassDocument> classes() const;
  const Services &services() const;

private:
  /// Parses and installs the document. Throws ConfigurationError.
  void parse(const ConfigurationChange &Change);

  std::map<std::string, ConfigurationChange> AppliedChanges;
  std::shared_ptr<const ClassDocument> Classes;
  Services ServiceDocuments;
};

} // namespace acaciacross::configuration

#endif
