#include "Programs/PlatformNode/SettingsFile.h"

#include "Common/Error.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace acaciacross::nodeprogram {

namespace {

timespec modifiedAt(const std::string &Path) {
  struct stat State {};
  if (::stat(Path.c_str(), &State) != 0)
    return {};
  return State.st_mtim;
}

} // namespace

SettingsFile::SettingsFile(std::string Location) : Path(std::move(Location)) {}

std::string SettingsFile::read() {
  this->ReadState = modifiedAt(this->Path);
  std::ifstream File(this->Path);
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  if (!File)
    throw common::Error(common::ResultCode::SettingInvalid,
                        "the settings file " + this->Path +
                            " cannot be read; allowed: a readable TOML file");
  return Text;
}

bool SettingsFile::hasChanged() const {
  const timespec Present = modifiedAt(this->Path);
  return Present.tv_sec != this->ReadState.tv_sec ||
         Present.tv_nsec != this->ReadState.tv_nsec;
}

} // namespace acaciacross::nodeprogram
