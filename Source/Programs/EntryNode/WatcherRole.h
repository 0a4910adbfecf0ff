#ifndef ACACIACROSS_PROGRAMS_ENTRYNODE_WATCHERROLE_H
#define ACACIACROSS_PROGRAMS_ENTRYNODE_WATCHERROLE_H

#include "Peering/ReaderRole.h"
#include "Platform/ConfigurationWatcher.h"

namespace acaciacross::entry {

/// Resumes and pauses the watcher as this VM becomes a reader or stops being
/// one.
class WatcherRole final : public peering::ReaderRole {
public:
  /// The watcher must outlive this object.
  explicit WatcherRole(platform::ConfigurationWatcher &Watcher);

  void setReader(bool IsReader) override;
  void readOnce() override;

private:
  platform::ConfigurationWatcher &Watcher;
};

} // namespace acaciacross::entry

#endif
