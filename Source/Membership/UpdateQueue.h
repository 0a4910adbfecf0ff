#ifndef ACACIACROSS_MEMBERSHIP_UPDATEQUEUE_H
#define ACACIACROSS_MEMBERSHIP_UPDATEQUEUE_H

#include "Membership/MemberUpdate.h"

#include <cstddef>
#include <map>
#include <vector>

namespace acaciacross::membership {

/// Recent changes of members, each of which goes out in a bounded number of
/// rounds.
class UpdateQueue {
public:
  /// Adds a change; a later one of the same VM replaces it.
  void add(const MemberUpdate &Update);

  /// The updates for the next round, those sent least often first.
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
