#ifndef ACACIACROSS_STANDINS_PLATFORM_DOCUMENTFOLDER_H
#define ACACIACROSS_STANDINS_PLATFORM_DOCUMENTFOLDER_H

#include "StandIns/Platform/ChangeLog.h"

#include <filesystem>
#include <optional>

namespace acaciacross::standins {

/// Publishes the documents of a folder.
class DocumentFolder {
public:
  explicit DocumentFolder(std::filesystem::path Folder);

  /// In the order of the file names; other files are passed over.
  void publishAll(ChangeLog &Target) const;

  /// "classes.toml" gives "classes", "service-x.toml" gives "service/x".
  static std::optional<std::string> keyOf(const std::string &FileName);

private:
  std::filesystem::path Folder;
};

} // namespace acaciacross::standins

#endif
