#ifndef ACACIACROSS_MEMBERSHIP_UPDATEQUEUE_H
#define ACACIACROSS_MEMBERSHIP_UPDATEQUEUE_H

#include "Membership/MemberUpdate.h"

#include <cstddef>
#include <map>
#include <vector>

namespace acaciacross::membership {

/// Queue of recent member changes. Each change is sent in a limited number of
/// rounds.
class UpdateQueue {
public:
  /// Adds a change. It replaces an earlier change of the same VM.
  void add(const MemberUpdate &Update);

  /// Returns the updates for the next round, the least often sent ones first.
  std::vector<MemberUpdate> take();

  bool isEmpty() const;

private:
  struct Entry {
    MemberUpdate Update;
    std::size_t RoundsLeft = 0;
  };

  std::map<common::VmId, Entry> Entries;
};

} // namespace acaciacross::membership

#endif
