#include "Programs/PlatformNode/SettingsFile.h"

#include "Common/Error.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace acaciacross::nodeprogram {

namespace {

timespec modifiedAt(const std::string &Path) {
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) != 0)
    return {};
  return Status.st_mtim;
}

} // namespace

SettingsFile::SettingsFile(std::string Path) : Path(std::move(Path)) {}

std::string SettingsFile::read() {
  this->ModifiedAtRead = modifiedAt(this->Path);
  std::ifstream File(this->Path);
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  if (!File)
    throw common::Error(common::ResultCode::SettingInvalid,
                        "the settings file " + this->Path +
                            " cannot be read; allowed: a readable TOML file");
  return Text;
}

bool SettingsFile::hasChanged() const {
  const timespec Current = modifiedAt(this->Path);
  return Current.tv_sec != this->ModifiedAtRead.tv_sec ||
         Current.tv_nsec != this->ModifiedAtRead.tv_nsec;
}

} // namespace acaciacross::nodeprogram
