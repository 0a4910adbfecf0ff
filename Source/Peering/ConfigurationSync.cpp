#include "Peering/ConfigurationSync.h"

#include "Common/Hash.h"
#include "Common/Log.h"

#include <string>

namespace acaciacross::peering {

namespace {

// A peer that is behind usually catches up by itself. If it still differs after
// this time, it may hold a key of a lower revision that is missing here.
constexpr std::chrono::seconds BehindDelay{2};
// Delay between pulls while both sides stay the same. A pull that changed
// nothing is not repeated earlier, because the peer may hold a document that
// this version refuses.
constexpr std::chrono::seconds UnchangedDelay{30};
// The same for a peer that is ahead. A pull from it usually brings changes;
// when it brings none, the peer may hold a document that this version refuses.
constexpr std::chrono::seconds AheadDelay{5};
// After a failed pull other peers get a turn, as this peer may answer probes
// but not pulls. Changes have to take effect everywhere within 11 s; a longer
// delay would leave too little of that time when only one peer is ahead.
constexpr std::chrono::seconds FailureDelay{1};
// At this limit all states are removed, including those of peers that have
// left.
constexpr std::size_t MaxPullStates = 1024;

// Hashes only the revisions, because they determine the texts. Hashing every
// text at every tick would cost more than the probes.
std::uint64_t digestOf(const configuration::ConfigurationStore &Store) {
  std::string Bytes;
  for (const auto &[Key, Number] : Store.revisions())
    Bytes += std::to_string(Key.size()) + ':' + Key +
             std::to_string(Number.Value) + ';';
  return common::stableHash(Bytes);
}

} // namespace

ConfigurationSync::ConfigurationSync(control::ControlState &State,
                                     ACE_Reactor &Reactor,
                                     const common::Clock &Time)
    : State(State), Time(Time), Client(Reactor, *this, Time) {
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
  this->PullStates.erase(From);
  // A joining peer may lack the same configuration as this VM.
  if (this->State.servingState() == membership::ServingState::Joining &&
      Status.State != membership::ServingState::Joining)
    this->State.recordPeerAnswer();
}

void ConfigurationSync::pullWhenDue(const common::Address &From,
                                    const membership::MemberStatus &Status) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (this->PullStates.size() >= MaxPullStates &&
      !this->PullStates.contains(From))
    this->PullStates.clear();
  PeerPullState &PullState = this->PullStates[From];
  if (PullState.OwnDigest != this->OwnDigest ||
      PullState.PeerDigest != Status.ConfigurationDigest)
    PullState = {this->OwnDigest, Status.ConfigurationDigest, Now, Now};
  const bool IsAhead = Status.PositionInEffect > this->OwnRevision.Value;
  if (!this->Pulls.mayBegin(From, Now) || Now < PullState.NextPullAt ||
      (Status.PositionInEffect < this->OwnRevision.Value &&
       Now - PullState.FirstSeenAt < BehindDelay))
    return;
  ConfigurationPullMessage Pull;
  // Changes above the own highest revision are pulled first. A difference below
  // it shows in the digest afterwards and needs the list of all keys.
  if (IsAhead)
    Pull.AfterRevision = this->OwnRevision;
  else
    Pull.KnownRevisions = this->State.configuration().revisions();
  PullState.NextPullAt = Now + (IsAhead ? AheadDelay : UnchangedDelay);
  if (this->Client.pull(From, Pull))
    this->Pulls.begin(From, Now);
}

ConfigurationChangesMessage
ConfigurationSync::changesFor(const ConfigurationPullMessage &Pull) {
  ConfigurationChangesMessage Reply;
  Reply.Changes = this->State.configuration().changesSince(Pull.KnownRevisions);
  std::erase_if(Reply.Changes, [&Pull](const auto &Change) {
    return Change.Revision <= Pull.AfterRevision;
  });
  return Reply;
}

void ConfigurationSync::onChanges(const common::Address &From,
                                  const ConfigurationChangesMessage &Message) {
  this->Pulls.end(From, this->Time.monotonicNow());
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
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->Pulls.end(From, Now);
  // The states of all peers may have been dropped since the pull began.
  const auto Found = this->PullStates.find(From);
  if (Found != this->PullStates.end())
    Found->second.NextPullAt = Now + FailureDelay;
}

} // namespace acaciacross::peering
