#include "Tickets/TicketTable.h"

#include <utility>

namespace acaciacross::tickets {

namespace {

std::size_t bytesOf(const std::vector<query::ShardAnswer> &Parts) {
  std::size_t Bytes = 0;
  for (const query::ShardAnswer &Part : Parts)
    Bytes += Part.Body.size();
  return Bytes;
}

std::size_t bytesOf(const query::Outcome &Outcome) {
  if (const auto *Complete = std::get_if<query::CompleteAnswer>(&Outcome))
    return bytesOf(Complete->Parts);
  if (const auto *Partial = std::get_if<query::PartialAnswer>(&Outcome))
    return bytesOf(Partial->Parts);
  return 0;
}

} // namespace

TicketTable::TicketTable(const TicketIssuer &Issuer, TicketTableLimits Bounds)
    : Issuer(Issuer), Limits(Bounds) {}

TicketLookup TicketTable::present(const Ticket &Presented,
                                  common::MonotonicTime Now) {
  if (!this->Issuer.isOwn(Presented))
    return {TicketState::OwnedElsewhere, nullptr};
  if (!this->Issuer.isGenuine(Presented))
    return {TicketState::Altered, nullptr};
  this->discardOld(Now);
  const auto Known = this->Records.find(Presented.Sequence);
  if (Known != this->Records.end())
    return {Known->second ? TicketState::Finished : TicketState::Executing,
            Known->second};
  if (Now >= this->Issuer.expiryOf(Presented))
    return {TicketState::Expired, nullptr};
  if (this->isFull())
    return {TicketState::TableFull, nullptr};
  this->Records.emplace(Presented.Sequence, nullptr);
  return {TicketState::Accepted, nullptr};
}

void TicketTable::finish(const Ticket &Executed,
                         std::shared_ptr<const query::Outcome> Outcome) {
  const auto Known = this->Records.find(Executed.Sequence);
  if (Known == this->Records.end() || Known->second)
    return;
  if (std::holds_alternative<query::Refusal>(*Outcome)) {
    this->Records.erase(Known);
    return;
  }
  this->StoredBytes += bytesOf(*Outcome);
  Known->second = std::move(Outcome);
  this->DiscardAt.emplace(this->Issuer.expiryOf(Executed) +
                              this->Limits.Retention,
                          Executed.Sequence);
}

void TicketTable::discardOld(common::MonotonicTime Now) {
  while (!this->DiscardAt.empty() && this->DiscardAt.begin()->first <= Now) {
    const auto Oldest = this->DiscardAt.begin();
    const auto Record = this->Records.find(Oldest->second);
    this->StoredBytes -= bytesOf(*Record->second);
    this->Records.erase(Record);
    this->DiscardAt.erase(Oldest);
  }
}

bool TicketTable::isFull() const {
  return this->Records.size() >= this->Limits.MaxRecords ||
         this->StoredBytes >= this->Limits.MaxStoredBytes;
}

std::size_t TicketTable::size() const { return this->Records.size(); }

} // namespace acaciacross::tickets
