#include "StandIns/Platform/DocumentFolder.h"

#include <fstream>
#include <set>
#include <sstream>

namespace acaciacross::standins {

DocumentFolder::DocumentFolder(std::filesystem::path Folder)
    : Folder(std::move(Folder)) {}

void DocumentFolder::publishAll(ChangeLog &Log) const {
  std::set<std::filesystem::path> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(this->Folder))
    Files.insert(Entry.path());
  for (const auto &File : Files) {
    const auto Key = keyOf(File.filename().string());
    if (!Key)
      continue;
    std::ostringstream Text;
    Text << std::ifstream(File).rdbuf();
    Log.publish(*Key, Text.str());
  }
}

std::optional<std::string> DocumentFolder::keyOf(const std::string &FileName) {
  constexpr std::string_view Prefix = "service-";
  constexpr std::string_view Suffix = ".toml";
  if (FileName == "classes.toml")
    return "classes";
  if (!FileName.starts_with(Prefix) || !FileName.ends_with(Suffix) ||
      FileName.size() <= Prefix.size() + Suffix.size())
    return std::nullopt;
  return "service/" +
         FileName.substr(Prefix.size(),
                         FileName.size() - Prefix.size() - Suffix.size());
}

} // namespace acaciacross::standins
