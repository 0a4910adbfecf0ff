#include "Fleet/ChangeRelay.h"

#include <algorithm>
#include <utility>

namespace acaciacross::fleet {

ChangeRelay::ChangeRelay(const common::Address &Local, ACE_Reactor &Events,
                         const common::Clock &TimeSource,
                         discovery::PublishedState &Shared,
                         logging::EventLog &Journal)
    : Published(Shared), Log(Journal), Server(Local, Events, *this, TimeSource),
      Client(Events, *this, TimeSource) {}

// A VM that has just started takes what its peers know, too: the store may be
// away.
void ChangeRelay::onPeer(const common::Address &Peer,
                         const membership::MemberStatus &Status) {
  if (this->IsPulling || Status.InEffect.Value <= this->Published.revision())
    return;
  peering::ConfigurationPullMessage Pull;
  Pull.Floor = common::Revision(this->Published.revision());
  this->IsPulling = this->Client.pull(Peer, Pull);
}

// A removed key travels with an empty text, which no published value is. A peer
// that may miss removals gets everything.
peering::ConfigurationChangesMessage
ChangeRelay::changesFor(const peering::ConfigurationPullMessage &Pull) {
  peering::ConfigurationChangesMessage Reply;
  if (!this->Published.hasSnapshot())
    return Reply;
  const auto Add = [&](discovery::StoreItem Item) {
    Reply.Changes.push_back({std::move(Item.Key),
                             common::Revision(Item.Revision),
                             std::move(Item.Value)});
  };
  if (this->Published.knowsRemovalsAfter(Pull.Floor.Value)) {
    for (discovery::StoreChange &Each :
         this->Published.changesAfter(Pull.Floor.Value))
      Add(std::move(Each.Item));
    return Reply;
  }
  Reply.CompleteAt = common::Revision(this->Published.revision());
  for (discovery::StoreItem &Each : this->Published.items())
    Add(std::move(Each));
  return Reply;
}

void ChangeRelay::onChanges(
    const common::Address &From,
    const peering::ConfigurationChangesMessage &Message) {
  this->IsPulling = false;
  if (Message.Changes.empty())
    return;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationPulled)
          .text("from", From.toString())
          .number("changes", static_cast<std::int64_t>(Message.Changes.size()))
          .number("revision", static_cast<std::int64_t>(
                                  Message.Changes.back().Number.Value))
          .flag("complete", Message.CompleteAt.has_value()));
  if (Message.CompleteAt)
    this->takeAll(Message.Changes, Message.CompleteAt->Value);
  else
    this->takeNewer(Message.Changes);
}

void ChangeRelay::takeAll(
    const std::vector<configuration::ConfigurationChange> &Changes,
    std::uint64_t Revision) {
  std::vector<discovery::StoreItem> Items;
  Items.reserve(Changes.size());
  for (const configuration::ConfigurationChange &Each : Changes)
    Items.push_back({Each.Key, Each.Text, Each.Number.Value});
  this->Published.onSnapshot(std::move(Items), Revision);
}

// Without a snapshot of its own a VM cannot tell what these leave out.
void ChangeRelay::takeNewer(
    const std::vector<configuration::ConfigurationChange> &Changes) {
  if (!this->Published.hasSnapshot())
    return;
  std::vector<discovery::StoreChange> Batch;
  std::uint64_t Revision = 0;
  for (const configuration::ConfigurationChange &Each : Changes) {
    Batch.push_back(
        {{Each.Key, Each.Text, Each.Number.Value}, Each.Text.empty()});
    Revision = std::max(Revision, Each.Number.Value);
  }
  this->Published.onChanges(std::move(Batch), Revision);
}

void ChangeRelay::onPullFailed(const common::Address &) {
  this->IsPulling = false;
}

} // namespace acaciacross::fleet
