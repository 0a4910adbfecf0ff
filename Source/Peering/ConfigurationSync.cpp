#include "Peering/ConfigurationSync.h"

#include "Common/Hash.h"
#include "Common/Log.h"

#include <string>

namespace acaciacross::peering {

namespace {

// A peer that is behind usually catches up by itself; after this time it may
// hold a key of a lower revision that is missing here.
constexpr std::chrono::seconds BehindDelay{2};
// A pull that changed nothing is not repeated while both sides stay the same:
// the peer may hold a document that this version refuses.
constexpr std::chrono::seconds FruitlessDelay{30};
// A pull from a peer that is ahead usually brings changes; when it brings none,
// the peer may hold a document that this version refuses.
constexpr std::chrono::seconds AheadDelay{5};
// A peer that answers probes but not pulls must not keep others from the turn.
// Longer waits would leave too little of the 11 s when one peer alone is ahead.
constexpr std::chrono::seconds FailureDelay{1};
// Peers come and go; the memory of those that went is dropped with the rest.
constexpr std::size_t MaxMemories = 1024;

// Over the revisions only: they determine the texts, and hashing every text
// for every tick would cost more than the probes do.
std::uint64_t digestOf(const configuration::ConfigurationStore &Store) {
  std::string Bytes;
  for (const auto &[Key, Number] : Store.revisions())
    Bytes += std::to_string(Key.size()) + ':' + Key +
             std::to_string(Number.Value) + ';';
  return common::stableHash(Bytes);
}

} // namespace

ConfigurationSync::ConfigurationSync(control::ControlState &Target,
                                     ACE_Reactor &Events,
                                     const common::Clock &TimeSource)
    : State(Target), Time(TimeSource), Client(Events, *this, TimeSource) {
  this->refresh();
}

void ConfigurationSync::refresh() {
  this->OwnDigest = digestOf(this->State.configuration());
  this->OwnRevision = this->State.configuration().highestRevision();
}

std::uint64_t ConfigurationSync::digest() const { return this->OwnDigest; }

void ConfigurationSync::onStatus(const common::Address &From,
                                 const membership::MemberStatus &Status) {
  if (Status.ConfigurationDigest != this->OwnDigest) {
    this->pullWhenDue(From, Status);
    return;
  }
  this->Memories.erase(From);
  // A joining peer may be as ignorant as this VM.
  if (this->State.servingState() == membership::ServingState::Joining &&
      Status.State != membership::ServingState::Joining)
    this->State.notePeerAnswer();
}

void ConfigurationSync::pullWhenDue(const common::Address &From,
                                    const membership::MemberStatus &Status) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (this->Memories.size() >= MaxMemories && !this->Memories.contains(From))
    this->Memories.clear();
  PullMemory &Memory = this->Memories[From];
  if (Memory.OwnDigest != this->OwnDigest ||
      Memory.PeerDigest != Status.ConfigurationDigest)
    Memory = {this->OwnDigest, Status.ConfigurationDigest, Now, Now};
  const bool IsAhead = Status.InEffect > this->OwnRevision;
  if (this->Pulling || Now < Memory.NextPullAt ||
      (Status.InEffect < this->OwnRevision && Now - Memory.Since < BehindDelay))
    return;
  ConfigurationPullMessage Pull;
  // What is above the own highest revision first; a difference below it shows
  // in the digest afterwards and needs the list of all keys.
  if (IsAhead)
    Pull.Floor = this->OwnRevision;
  else
    Pull.Known = this->State.configuration().revisions();
  Memory.NextPullAt = Now + (IsAhead ? AheadDelay : FruitlessDelay);
  this->Pulling = this->Client.pull(From, Pull);
}

ConfigurationChangesMessage
ConfigurationSync::changesFor(const ConfigurationPullMessage &Pull) {
  ConfigurationChangesMessage Reply;
  Reply.Changes = this->State.configuration().changesSince(Pull.Known);
  std::erase_if(Reply.Changes, [&Pull](const auto &Change) {
    return Change.Number <= Pull.Floor;
  });
  return Reply;
}

void ConfigurationSync::onChanges(const common::Address &From,
                                  const ConfigurationChangesMessage &Message) {
  this->Pulling = false;
  const std::string Cause = "peer " + From.toString();
  std::size_t Accepted = 0;
  for (const configuration::ConfigurationChange &Change : Message.Changes) {
    const auto Result = this->State.applyConfiguration(Change, Cause);
    if (Result.Outcome == configuration::ApplyOutcome::Accepted)
      ++Accepted;
  }
  if (Accepted == 0)
    return;
  this->refresh();
  common::logEvent(common::LogEvent::ConfigurationPulled,
                   "from=" + From.toString() +
                       " keys=" + std::to_string(Accepted));
}

void ConfigurationSync::onPullFailed(const common::Address &From) {
  this->Pulling = false;
  this->Memories[From].NextPullAt = this->Time.monotonicNow() + FailureDelay;
}

} // namespace acaciacross::peering
