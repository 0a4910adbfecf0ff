#ifndef ACACIACROSS_STANDINS_PLATFORM_DOCUMENTFOLDER_H
#define ACACIACROSS_STANDINS_PLATFORM_DOCUMENTFOLDER_H

#include "StandIns/Platform/ChangeLog.h"

#include <filesystem>
#include <optional>

namespace acaciacross::standins {

/// Publishes the configuration documents of a folder.
class DocumentFolder {
public:
  explicit DocumentFolder(std::filesystem::path Folder);

  /// Publishes in order of the file names and skips files that are not
  /// documents.
  void publishAll(ChangeLog &Log) const;

  /// Key of a document: "classes" for "classes.toml", "service/x" for
  /// "service-x.toml". Empty when the file is not a document.
  static std::optional<std::string> keyOf(const std::string &FileName);

private:
  std::filesystem::path Folder;
};

} // namespace acaciacross::standins

#endif
