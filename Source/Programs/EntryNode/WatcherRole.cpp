#include "Programs/EntryNode/WatcherRole.h"

namespace acaciacross::entry {

WatcherRole::WatcherRole(platform::ConfigurationWatcher &Watcher)
    : Watcher(Watcher) {}

void WatcherRole::setReader(bool IsReader) {
  if (IsReader)
    this->Watcher.resume();
  else
    this->Watcher.pause();
}

void WatcherRole::readOnce() { this->Watcher.readOnce(); }

} // namespace acaciacross::entry
