#include "Fleet/ChangeRelay.h"

#include <algorithm>

namespace acaciacross::fleet {

ChangeRelay::ChangeRelay(const common::Address &Local, ACE_Reactor &Events,
                         const common::Clock &TimeSource,
                         discovery::PublishedState &Shared,
                         logging::EventLog &Journal)
    : Published(Shared), Log(Journal), Server(Local, Events, *this, TimeSource),
      Client(Events, *this, TimeSource) {}

// A VM that has not read everything once does so itself: a peer that started
// at the same time may know as little.
void ChangeRelay::onPeer(const common::Address &Peer,
                         const membership::MemberStatus &Status) {
  if (this->IsPulling || !this->Published.hasSnapshot() ||
      Status.InEffect.Value <= this->Published.revision())
    return;
  peering::ConfigurationPullMessage Pull;
  Pull.Floor = common::Revision(this->Published.revision());
  this->IsPulling = this->Client.pull(Peer, Pull);
}

// A removed key travels with an empty text, which no published value is.
std::vector<configuration::ConfigurationChange>
ChangeRelay::changesFor(const peering::ConfigurationPullMessage &Pull) {
  std::vector<configuration::ConfigurationChange> Changes;
  for (discovery::StoreChange &Each :
       this->Published.changesAfter(Pull.Floor.Value))
    Changes.push_back({std::move(Each.Item.Key),
                       common::Revision(Each.Item.Revision),
                       std::move(Each.Item.Value)});
  return Changes;
}

void ChangeRelay::onChanges(
    const common::Address &From,
    const peering::ConfigurationChangesMessage &Message) {
  this->IsPulling = false;
  if (Message.Changes.empty())
    return;
  std::vector<discovery::StoreChange> Batch;
  std::uint64_t Revision = 0;
  for (const configuration::ConfigurationChange &Each : Message.Changes) {
    Batch.push_back(
        {{Each.Key, Each.Text, Each.Number.Value}, Each.Text.empty()});
    Revision = std::max(Revision, Each.Number.Value);
  }
  this->Log.write(
      logging::LogRecord(common::LogEvent::ConfigurationPulled)
          .text("from", From.toString())
          .number("changes", static_cast<std::int64_t>(Batch.size()))
          .number("revision", static_cast<std::int64_t>(Revision)));
  this->Published.onChanges(std::move(Batch), Revision);
}

void ChangeRelay::onPullFailed(const common::Address &) {
  this->IsPulling = false;
}

} // namespace acaciacross::fleet
