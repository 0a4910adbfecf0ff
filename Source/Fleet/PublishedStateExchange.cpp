#include "Fleet/PublishedStateExchange.h"

#include <algorithm>
#include <utility>

namespace acaciacross::fleet {

PublishedStateExchange::PublishedStateExchange(
    const common::Address &Local, ACE_Reactor &Events,
    const common::Clock &Time, discovery::PublishedState &Published,
    logging::EventLog &Log)
    : Time(Time), Published(Published), Log(Log),
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
// empty. A peer that may have missed removals gets all items.
peering::ConfigurationChangesMessage PublishedStateExchange::changesFor(
    const peering::ConfigurationPullMessage &Pull) {
  peering::ConfigurationChangesMessage Reply;
  if (!this->Published.hasSnapshot())
    return Reply;
  const auto AddChange = [&](discovery::StoreItem Item) {
    Reply.Changes.push_back({std::move(Item.Key),
                             common::Revision(Item.Revision),
                             std::move(Item.Value)});
  };
  if (this->Published.knowsRemovalsAfter(Pull.AfterRevision.Value)) {
    for (discovery::StoreChange &Change :
         this->Published.changesAfter(Pull.AfterRevision.Value))
      AddChange(std::move(Change.Item));
    return Reply;
  }
  Reply.CompleteAt = common::Revision(this->Published.revision());
  for (discovery::StoreItem &Item : this->Published.items())
    AddChange(std::move(Item));
  return Reply;
}

void PublishedStateExchange::onChanges(
    const common::Address &From,
    const peering::ConfigurationChangesMessage &Message) {
  this->IsPulling = false;
  const common::MonotonicTime HeardAt =
      this->HeardAt.value_or(this->PullStartedAt);
  this->HeardAt.reset();
  if (Message.Changes.empty())
    return;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationPulled)
          .text("from", From.toString())
          .number("changes", static_cast<std::int64_t>(Message.Changes.size()))
          .number("revision", static_cast<std::int64_t>(
                                  Message.Changes.back().Revision.Value))
          .flag("complete", Message.CompleteAt.has_value())
          .milliseconds("waited_ms", this->PullStartedAt - HeardAt)
          .milliseconds("took_ms",
                        this->Time.monotonicNow() - this->PullStartedAt));
  if (Message.CompleteAt)
    this->applySnapshot(Message.Changes, Message.CompleteAt->Value);
  else
    this->applyChanges(Message.Changes);
}

void PublishedStateExchange::applySnapshot(
    const std::vector<configuration::ConfigurationChange> &Changes,
    std::uint64_t Revision) {
  std::vector<discovery::StoreItem> Items;
  Items.reserve(Changes.size());
  for (const configuration::ConfigurationChange &Change : Changes)
    Items.push_back({Change.Key, Change.Text, Change.Revision.Value});
  this->Published.onSnapshot(std::move(Items), Revision);
}

// Changes are ignored without a snapshot, because this VM cannot know what they
// leave out.
void PublishedStateExchange::applyChanges(
    const std::vector<configuration::ConfigurationChange> &Changes) {
  if (!this->Published.hasSnapshot())
    return;
  std::vector<discovery::StoreChange> Batch;
  std::uint64_t Revision = 0;
  for (const configuration::ConfigurationChange &Change : Changes) {
    Batch.push_back({{Change.Key, Change.Text, Change.Revision.Value},
                     Change.Text.empty()});
    Revision = std::max(Revision, Change.Revision.Value);
  }
  this->Published.onChanges(std::move(Batch), Revision);
}

void PublishedStateExchange::onPullFailed(const common::Address &From) {
  this->IsPulling = false;
  this->Log.write(logging::LogRecord(common::LogEvent::ConfigurationPullFailed)
                      .text("from", From.toString())
                      .milliseconds("took_ms", this->Time.monotonicNow() -
                                                   this->PullStartedAt));
}

} // namespace acaciacross::fleet
