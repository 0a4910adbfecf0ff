#include "Fleet/PublishedStateExchange.h"

#include <utility>

namespace acaciacross::fleet {

PublishedStateExchange::PublishedStateExchange(
    const common::Address &Local, ACE_Reactor &Events,
    const common::Clock &Time, discovery::PublishedState &Published,
    PublishedStateListener &Listener, logging::EventLog &Log)
    : Time(Time), Published(Published), Listener(Listener), Log(Log),
      Server(Local, Events, *this, Time), Client(Events, *this, Time) {}

// A VM that has just started also pulls from its peers, because the store may
// be unavailable.
void PublishedStateExchange::onPeerStatus(
    const common::Address &Peer, const membership::MemberStatus &Status) {
  if (Status.RevisionInEffect.Value <= this->Published.revision())
    return;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (!this->HeardAt)
    this->HeardAt = Now;
  if (this->IsPulling)
    return;
  this->PullStartedAt = Now;
  peering::ConfigurationPullMessage Pull;
  Pull.AfterRevision = common::Revision(this->Published.revision());
  this->IsPulling = this->Client.pull(Peer, Pull);
}

// A removal is sent as a key with an empty text; published values are never
// empty.
peering::ConfigurationChangesMessage PublishedStateExchange::changesFor(
    const peering::ConfigurationPullMessage &Pull) {
  discovery::PublishedChanges Published =
      this->Published.changesSince(Pull.AfterRevision.Value);
  peering::ConfigurationChangesMessage Reply;
  if (Published.IsComplete)
    Reply.CompleteAt = common::Revision(Published.Revision);
  else
    Reply.ChangesUpTo = common::Revision(Published.Revision);
  for (discovery::StoreChange &Change : Published.Changes)
    Reply.Changes.push_back({std::move(Change.Item.Key),
                             common::Revision(Change.Item.Revision),
                             std::move(Change.Item.Value)});
  return Reply;
}

void PublishedStateExchange::onChanges(
    const common::Address &From,
    const peering::ConfigurationChangesMessage &Message) {
  this->IsPulling = false;
  const common::MonotonicTime HeardAt =
      this->HeardAt.value_or(this->PullStartedAt);
  this->HeardAt.reset();
  if (Message.Changes.empty() && !Message.ChangesUpTo)
    return;
  discovery::PublishedChanges Received;
  Received.IsComplete = Message.CompleteAt.has_value();
  if (Message.CompleteAt)
    Received.Revision = Message.CompleteAt->Value;
  else if (Message.ChangesUpTo)
    Received.Revision = Message.ChangesUpTo->Value;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationPulled)
          .text("from", From.toString())
          .number("changes", static_cast<std::int64_t>(Message.Changes.size()))
          .number("revision", static_cast<std::int64_t>(Received.Revision))
          .flag("complete", Message.CompleteAt.has_value())
          .milliseconds("waited_ms", this->PullStartedAt - HeardAt)
          .milliseconds("took_ms",
                        this->Time.monotonicNow() - this->PullStartedAt));
  for (const configuration::ConfigurationChange &Change : Message.Changes)
    Received.Changes.push_back(
        {{Change.Key, Change.Text, Change.Revision.Value},
         Change.Text.empty()});
  this->Published.apply(std::move(Received));
  this->Listener.onPublishedStateChanged();
}

void PublishedStateExchange::onPullFailed(const common::Address &From) {
  this->IsPulling = false;
  this->Log.write(logging::LogRecord(common::LogEvent::ConfigurationPullFailed)
                      .text("from", From.toString())
                      .milliseconds("took_ms", this->Time.monotonicNow() -
                                                   this->PullStartedAt));
}

} // namespace acaciacross::fleet
