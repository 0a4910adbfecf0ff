#include "Configuration/ConfigurationStore.h"

#include "Common/Hash.h"
#include "Configuration/ClassDocumentParser.h"
#include "Configuration/ConfigurationError.h"
#include "Configuration/ServiceDocumentParser.h"
#include "Configuration/TomlTable.h"

#include <algorithm>

namespace acaciacross::configuration {

namespace {

constexpr std::string_view ClassesKey = "classes";
constexpr std::string_view ServicePrefix = "service/";

} // namespace

ApplyResult ConfigurationStore::apply(const ConfigurationChange &Change) {
  const auto It = this->AppliedChanges.find(Change.Key);
  if (It != this->AppliedChanges.end() &&
      Change.Revision <= It->second.Revision)
    return {ApplyOutcome::Stale, "revision " +
                                     std::to_string(It->second.Revision.Value) +
                                     " is in effect"};
  try {
    this->parse(Change);
  } catch (const ConfigurationError &Error) {
    return {ApplyOutcome::Invalid, Error.what()};
  }
  this->AppliedChanges[Change.Key] = Change;
  return {ApplyOutcome::Accepted, ""};
}

std::vector<ConfigurationChange>
ConfigurationStore::changesSince(const Revisions &KnownRevisions) const {
  std::vector<ConfigurationChange> Changes;
  for (const auto &[Key, Change] : this->AppliedChanges) {
    const auto It = KnownRevisions.find(Key);
    if (It == KnownRevisions.end() || It->second < Change.Revision)
      Changes.push_back(Change);
  }
  std::sort(Changes.begin(), Changes.end(),
            [](const ConfigurationChange &A, const ConfigurationChange &B) {
              return A.Revision < B.Revision;
            });
  return Changes;
}

ConfigurationStore::Revisions ConfigurationStore::revisions() const {
  Revisions Result;
  for (const auto &[Key, Change] : this->AppliedChanges)
    Result.emplace(Key, Change.Revision);
  return Result;
}

common::Revision ConfigurationStore::highestRevision() const {
  common::Revision Highest;
  for (const auto &[Key, Change] : this->AppliedChanges)
    Highest = std::max(Highest, Change.Revision);
  return Highest;
}

std::uint64_t ConfigurationStore::digest() const {
  // The key is preceded by its length, so that different changes never give the
  // same hash input.
  std::string HashInput;
  for (const auto &[Key, Change] : this->AppliedChanges)
    HashInput += std::to_string(Key.size()) + ':' + Key +
                 std::to_string(Change.Revision.Value) + ':' +
                 std::to_string(common::stableHash(Change.Text)) + ';';
  return common::stableHash(HashInput);
}

std::shared_ptr<const ClassDocument> ConfigurationStore::classes() const {
  return this->Classes;
}

const ConfigurationStore::Services &ConfigurationStore::services() const {
  return this->ServiceDocuments;
}

void ConfigurationStore::parse(const ConfigurationChange &Change) {
  if (Change.Key == ClassesKey) {
    this->Classes = std::make_shared<const ClassDocument>(
        ClassDocumentParser::parse(Change.Text, Change.Key));
    return;
  }
  const bool IsService =
      Change.Key.starts_with(ServicePrefix) &&
      TomlTable::isName(
          std::string_view(Change.Key).substr(ServicePrefix.size()));
  if (!IsService)
    throw ConfigurationError(common::ResultCode::DocumentInvalid, Change.Key, 1,
                             "(key)", Change.Key.substr(0, 80),
                             "\"classes\" or \"service/<name>\"");
  auto Document = std::make_shared<const ServiceDocument>(
      ServiceDocumentParser::parse(Change.Text, Change.Key));
  const common::ServiceName Name = Document->Name;
  this->ServiceDocuments[Name] = std::move(Document);
}

} // namespace acaciacross::configuration
