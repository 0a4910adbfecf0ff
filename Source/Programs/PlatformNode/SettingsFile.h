#ifndef ACACIACROSS_PROGRAMS_PLATFORMNODE_SETTINGSFILE_H
#define ACACIACROSS_PROGRAMS_PLATFORMNODE_SETTINGSFILE_H

#include <ctime>
#include <string>

namespace acaciacross::nodeprogram {

/// The settings file, which may change with and without a signal.
class SettingsFile {
public:
  explicit SettingsFile(std::string Location);

  /// Throws common::Error (SettingInvalid) when the file cannot be read.
  std::string read();
  /// Whether the file differs from what was read last.
  bool hasChanged() const;

private:
  std::string Path;
  timespec ReadState{};
};

} // namespace acaciacross::nodeprogram

#endif
