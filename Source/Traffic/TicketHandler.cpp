#include "Traffic/TicketHandler.h"

#include <utility>

namespace acaciacross::traffic {

namespace {

TrafficReply makeReply(query::Outcome Outcome) {
  return {std::make_shared<const query::Outcome>(std::move(Outcome)), {}};
}

} // namespace

TicketHandler::TicketHandler(const EngineSettings &Settings)
    : Issuer(Settings.Identity, Settings.FirstSequence,
             Settings.TicketValidity),
      Table(this->Issuer, Settings.TicketLimits) {}

TicketReply TicketHandler::issue(const common::ClassName &Class,
                                 common::MonotonicTime Now) {
  this->Table.removeExpiredRecords(Now);
  if (this->Table.isFull())
    return {common::ResultCode::TicketTableFull, {}, {}};
  return {common::ResultCode::Ok, this->Issuer.issue(Class, Now),
          this->Issuer.validity()};
}

std::optional<TrafficReply>
TicketHandler::claim(const tickets::Ticket &Presented,
                     common::MonotonicTime Now) {
  const auto Lookup = this->Table.claim(Presented, Now);
  switch (Lookup.State) {
  case tickets::TicketState::Accepted:
    return std::nullopt;
  case tickets::TicketState::Finished:
    return TrafficReply{Lookup.StoredOutcome, {}};
  case tickets::TicketState::Executing:
    return makeReply(query::Failure{common::ResultCode::TicketInProgress});
  case tickets::TicketState::Expired:
    return makeReply(query::Failure{common::ResultCode::TicketExpired});
  case tickets::TicketState::OwnedElsewhere: {
    TrafficReply Reply =
        makeReply(query::Failure{common::ResultCode::TicketOwnedElsewhere});
    Reply.TicketOwner = Presented.Owner;
    return Reply;
  }
  case tickets::TicketState::TableFull:
    return makeReply(query::Refusal{common::ResultCode::TicketTableFull});
  case tickets::TicketState::Altered:
    break;
  }
  return makeReply(query::Refusal{common::ResultCode::TicketMalformed});
}

void TicketHandler::finish(const tickets::Ticket &Executed,
                           std::shared_ptr<const query::Outcome> Outcome) {
  this->Table.finish(Executed, std::move(Outcome));
}

} // namespace acaciacross::traffic
