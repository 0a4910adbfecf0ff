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
  const common::StorePosition Known = this->Published.position();
  if (Status.PositionInEffect <= Known)
    return;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (this->HeardPosition <= Known) {
    this->HeardPosition = Status.PositionInEffect;
    this->HeardAt = Now;
  }
  if (!this->Pulls.mayBegin(Peer, Now))
    return;
  peering::ConfigurationPullMessage Pull;
  Pull.AfterRevision = common::Revision(Known.Revision);
  Pull.Era = Known.Era;
  if (this->Client.pull(Peer, Pull))
    this->Pulls.begin(Peer, Now);
}

// A removal is sent as a key with an empty text; published values are never
// empty.
peering::ConfigurationChangesMessage PublishedStateExchange::changesFor(
    const peering::ConfigurationPullMessage &Pull) {
  discovery::PublishedChanges Published =
      this->Published.changesSince({Pull.Era, Pull.AfterRevision.Value});
  peering::ConfigurationChangesMessage Reply;
  Reply.Era = Published.Position.Era;
  if (Published.IsComplete)
    Reply.CompleteAt = common::Revision(Published.Position.Revision);
  else
    Reply.ChangesUpTo = common::Revision(Published.Position.Revision);
  for (discovery::StoreChange &Change : Published.Changes)
    Reply.Changes.push_back({std::move(Change.Item.Key),
                             common::Revision(Change.Item.Position.Revision),
                             std::move(Change.Item.Value)});
  return Reply;
}

void PublishedStateExchange::onChanges(
    const common::Address &From,
    const peering::ConfigurationChangesMessage &Message) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const std::chrono::nanoseconds Duration = this->Pulls.end(From, Now);
  if (Message.Changes.empty() && !Message.ChangesUpTo)
    return;
  discovery::PublishedChanges Received;
  Received.Position.Era = Message.Era;
  Received.IsComplete = Message.CompleteAt.has_value();
  if (Message.CompleteAt)
    Received.Position.Revision = Message.CompleteAt->Value;
  else if (Message.ChangesUpTo)
    Received.Position.Revision = Message.ChangesUpTo->Value;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationPulled)
          .text("from", From.toString())
          .number("changes", static_cast<std::int64_t>(Message.Changes.size()))
          .number("era", static_cast<std::int64_t>(Message.Era))
          .number("revision",
                  static_cast<std::int64_t>(Received.Position.Revision))
          .flag("complete", Message.CompleteAt.has_value())
          .milliseconds("waited_ms", Now - Duration - this->HeardAt)
          .milliseconds("took_ms", Duration));
  for (const configuration::ConfigurationChange &Change : Message.Changes)
    Received.Changes.push_back(
        {{Change.Key, Change.Text, {Message.Era, Change.Revision.Value}},
         Change.Text.empty()});
  this->Published.apply(std::move(Received));
  this->Listener.onPublishedStateChanged();
}

void PublishedStateExchange::onPullFailed(const common::Address &From) {
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationPullFailed)
          .text("from", From.toString())
          .milliseconds("took_ms",
                        this->Pulls.end(From, this->Time.monotonicNow())));
}

} // namespace acaciacross::fleet
