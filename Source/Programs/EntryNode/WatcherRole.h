#ifndef ACACIACROSS_PROGRAMS_ENTRYNODE_WATCHERROLE_H
#define ACACIACROSS_PROGRAMS_ENTRYNODE_WATCHERROLE_H

#include "Peering/ReaderRole.h"
#include "Platform/ConfigurationWatcher.h"

namespace acaciacross::entry {

/// Lets the election of readers drive the watcher.
class WatcherRole final : public peering::ReaderRole {
public:
  /// The watcher must outlive the role.
  explicit WatcherRole(platform::ConfigurationWatcher &Driven);

  void setReader(bool IsReader) override;
  void readOnce() override;

private:
  platform::ConfigurationWatcher &Watcher;
};

} // namespace acaciacross::entry

#endif
