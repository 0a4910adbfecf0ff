#include "Frontend/CallDispatcher.h"

#include "Frontend/AuditResponder.h"
#include "Frontend/JsonCodec.h"
#include "Frontend/ReplyResponder.h"
#include "Frontend/ReportResponder.h"
#include "Frontend/StatusPage.h"
#include "Frontend/TicketResponder.h"
#include "Membership/FleetLimits.h"
#include "Metrics/MetricsPage.h"

#include <charconv>
#include <chrono>
#include <utility>

namespace acaciacross::frontend {

namespace {

// Leaves addresses to try when two VMs are lost. More addresses only make the
// response longer.
constexpr std::size_t MaxAddresses = 4;

void respondRefusal(ResponseSink &Sink, const common::RequestId &Id,
                    common::ResultCode Code) {
  Sink.respond([Id, Code] { return JsonCodec::encodeRefusal(Id, Code); });
}

std::optional<std::uint64_t> parseUnsigned(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

} // namespace

CallDispatcher::CallDispatcher(common::VmId Vm, common::Incarnation Incarnation,
                               traffic::TrafficGateway &Gateway,
                               AuditSource &Audit, const common::Clock &Clock,
                               common::RandomSource &Random)
    : Vm(std::move(Vm)), Incarnation(Incarnation), Gateway(Gateway),
      Audit(Audit), Clock(Clock), Selector(Random) {}

void CallDispatcher::dispatch(const CallerRequest &Request,
                              std::shared_ptr<ResponseSink> Sink) {
  const std::string Route = Request.Method + " " + Request.Path;
  if (Route == "POST /v1/query")
    this->handleQuery(Request, std::move(Sink));
  else if (Route == "POST /v1/tickets")
    this->handleTicketRequest(Request, std::move(Sink));
  else if (Route == "GET /v1/addresses")
    this->handleAddresses(*Sink);
  else if (Route == "GET /v1/status")
    this->handleStatus(std::move(Sink));
  else if (Route == "GET /v1/audit")
    this->handleAudit(Request, std::move(Sink));
  else if (Route == "GET /metrics")
    this->handleMetrics(std::move(Sink));
  else
    respondRefusal(*Sink, {}, common::ResultCode::NotFound);
}

void CallDispatcher::handleQuery(const CallerRequest &Request,
                                 std::shared_ptr<ResponseSink> Sink) {
  auto Decoded = JsonCodec::decodeQuery(Request);
  if (const auto *Error = std::get_if<DecodeError>(&Decoded)) {
    respondRefusal(*Sink, Error->Id, Error->Code);
    return;
  }
  auto &Query = std::get<traffic::TrafficRequest>(Decoded);
  const auto Encode = [Id = Query.Id](const traffic::TrafficReply &Reply) {
    return JsonCodec::encodeReply(Id, Reply);
  };
  this->Gateway.submit(std::move(Query), std::make_shared<ReplyResponder>(
                                             Encode, std::move(Sink)));
}

void CallDispatcher::handleTicketRequest(const CallerRequest &Request,
                                         std::shared_ptr<ResponseSink> Sink) {
  const auto Decoded = JsonCodec::decodeTicketRequest(Request);
  if (const auto *Error = std::get_if<DecodeError>(&Decoded)) {
    respondRefusal(*Sink, Error->Id, Error->Code);
    return;
  }
  this->Gateway.requestTicket(std::get<common::ClassName>(Decoded),
                              std::make_shared<TicketResponder>(
                                  &JsonCodec::encodeTicket, std::move(Sink)));
}

// Without addresses the request is refused. A caller would keep an empty list
// for its validity and not ask again.
void CallDispatcher::handleAddresses(ResponseSink &Sink) {
  const auto View = this->Gateway.view();
  const bool IsServing = View->State == membership::ServingState::Serving;
  std::vector<routing::AddressCandidate> Selected;
  {
    const std::lock_guard Guard(this->AdvisorMutex);
    Selected =
        this->Selector.select(View->EntryVms, IsServing,
                              this->Clock.monotonicNow(), MaxAddresses, "");
  }
  if (Selected.empty()) {
    respondRefusal(Sink, {}, common::ResultCode::NotServing);
    return;
  }
  Sink.respond([Addresses = std::move(Selected)] {
    return JsonCodec::encodeAddresses(Addresses, membership::AddressValidity);
  });
}

void CallDispatcher::handleStatus(std::shared_ptr<ResponseSink> Sink) {
  const auto Encode = [this](const std::vector<metrics::ClassReport> &Reports) {
    return StatusPage::render(this->Vm, this->Incarnation,
                              *this->Gateway.view(), Reports,
                              this->Clock.monotonicNow());
  };
  this->Gateway.requestReports(
      std::make_shared<ReportResponder>(Encode, std::move(Sink)));
}

void CallDispatcher::handleMetrics(std::shared_ptr<ResponseSink> Sink) {
  const auto Encode = [](const std::vector<metrics::ClassReport> &Reports) {
    return HttpResponse{200, metrics::MetricsPage::render(Reports),
                        "text/plain; version=0.0.4"};
  };
  this->Gateway.requestReports(
      std::make_shared<ReportResponder>(Encode, std::move(Sink)));
}

void CallDispatcher::handleAudit(const CallerRequest &Request,
                                 std::shared_ptr<ResponseSink> Sink) {
  const auto After = parseUnsigned(Request.After.value_or("0"));
  if (!After) {
    respondRefusal(*Sink, {}, common::ResultCode::MalformedRequest);
    return;
  }
  const auto Encode = [](const std::vector<control::AuditEntry> &Entries) {
    return JsonCodec::encodeAudit(Entries);
  };
  this->Audit.requestEntriesAfter(
      *After, std::make_shared<AuditResponder>(Encode, std::move(Sink)));
}

} // namespace acaciacross::frontend
