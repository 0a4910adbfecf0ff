#include "Tickets/TicketTable.h"

#include <utility>

namespace acaciacross::tickets {

namespace {

std::size_t bodyBytes(const std::vector<query::ShardAnswer> &ShardAnswers) {
  std::size_t Bytes = 0;
  for (const query::ShardAnswer &Entry : ShardAnswers)
    Bytes += Entry.Body.size();
  return Bytes;
}

std::size_t bodyBytes(const query::Outcome &Outcome) {
  if (const auto *Complete = std::get_if<query::CompleteAnswer>(&Outcome))
    return bodyBytes(Complete->ShardAnswers);
  if (const auto *Partial = std::get_if<query::PartialAnswer>(&Outcome))
    return bodyBytes(Partial->ShardAnswers);
  return 0;
}

} // namespace

TicketTable::TicketTable(const TicketIssuer &Issuer, TicketTableLimits Limits)
    : Issuer(Issuer), Limits(Limits) {}

TicketLookup TicketTable::claim(const Ticket &Presented,
                                common::MonotonicTime Now) {
  if (!this->Issuer.isOwn(Presented))
    return {TicketState::OwnedElsewhere, nullptr};
  if (!this->Issuer.isGenuine(Presented))
    return {TicketState::Altered, nullptr};
  this->removeExpiredRecords(Now);
  const auto It = this->Records.find(Presented.Sequence);
  if (It != this->Records.end())
    return {It->second ? TicketState::Finished : TicketState::Executing,
            It->second};
  if (Now >= this->Issuer.expiryTime(Presented))
    return {TicketState::Expired, nullptr};
  if (this->isFull())
    return {TicketState::TableFull, nullptr};
  this->Records.emplace(Presented.Sequence, nullptr);
  return {TicketState::Accepted, nullptr};
}

void TicketTable::finish(const Ticket &Executed,
                         std::shared_ptr<const query::Outcome> Outcome) {
  const auto It = this->Records.find(Executed.Sequence);
  if (It == this->Records.end() || It->second)
    return;
  if (std::holds_alternative<query::Refusal>(*Outcome)) {
    this->Records.erase(It);
    return;
  }
  this->StoredBytes += bodyBytes(*Outcome);
  It->second = std::move(Outcome);
  this->DiscardQueue.emplace(this->Issuer.expiryTime(Executed) +
                                 this->Limits.Retention,
                             Executed.Sequence);
}

void TicketTable::removeExpiredRecords(common::MonotonicTime Now) {
  while (!this->DiscardQueue.empty() &&
         this->DiscardQueue.begin()->first <= Now) {
    const auto Oldest = this->DiscardQueue.begin();
    const auto Record = this->Records.find(Oldest->second);
    this->StoredBytes -= bodyBytes(*Record->second);
    this->Records.erase(Record);
    this->DiscardQueue.erase(Oldest);
  }
}

bool TicketTable::isFull() const {
  return this->Records.size() >= this->Limits.MaxRecords ||
         this->StoredBytes >= this->Limits.MaxStoredBytes;
}

std::size_t TicketTable::size() const { return this->Records.size(); }

} // namespace acaciacross::tickets
