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
  const auto Current = this->InEffect.find(Change.Key);
  if (Current != this->InEffect.end() &&
      Change.Number <= Current->second.Number)
    return {ApplyOutcome::Stale,
            "revision " + std::to_string(Current->second.Number.Value) +
                " is in effect"};
  try {
    this->parse(Change);
  } catch (const ConfigurationError &Error) {
    return {ApplyOutcome::Invalid, Error.what()};
  }
  this->InEffect[Change.Key] = Change;
  return {ApplyOutcome::Accepted, ""};
}

std::vector<ConfigurationChange>
ConfigurationStore::changesSince(const Revisions &Known) const {
  std::vector<ConfigurationChange> Changes;
  for (const auto &[Key, Change] : this->InEffect) {
    const auto Other = Known.find(Key);
    if (Other == Known.end() || Other->second < Change.Number)
      Changes.push_back(Change);
  }
  std::sort(Changes.begin(), Changes.end(),
            [](const ConfigurationChange &A, const ConfigurationChange &B) {
              return A.Number < B.Number;
            });
  return Changes;
}

ConfigurationStore::Revisions ConfigurationStore::revisions() const {
  Revisions Known;
  for (const auto &[Key, Change] : this->InEffect)
    Known.emplace(Key, Change.Number);
  return Known;
}

common::Revision ConfigurationStore::highestRevision() const {
  common::Revision Highest;
  for (const auto &[Key, Change] : this->InEffect)
    Highest = std::max(Highest, Change.Number);
  return Highest;
}

std::uint64_t ConfigurationStore::digest() const {
  // Lengths keep the boundaries between key and text apart.
  std::string Bytes;
  for (const auto &[Key, Change] : this->InEffect)
    Bytes += std::to_string(Key.size()) + ':' + Key +
             std::to_string(Change.Number.Value) + ':' +
             std::to_string(common::stableHash(Change.Text)) + ';';
  return common::stableHash(Bytes);
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
