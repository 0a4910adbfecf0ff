#ifndef ACACIACROSS_PROGRAMS_PLATFORMNODE_SETTINGSFILE_H
#define ACACIACROSS_PROGRAMS_PLATFORMNODE_SETTINGSFILE_H

#include <ctime>
#include <string>

namespace acaciacross::nodeprogram {

/// Reads the settings file and detects changes by its modification time,
/// because the file may change without a signal.
class SettingsFile {
public:
  explicit SettingsFile(std::string Path);

  /// Throws common::Error (SettingInvalid) when the file cannot be read.
  std::string read();
  /// Whether the modification time differs from that at the last read.
  bool hasChanged() const;

private:
  std::string Path;
  timespec ModifiedAtRead{};
};

} // namespace acaciacross::nodeprogram

#endif
