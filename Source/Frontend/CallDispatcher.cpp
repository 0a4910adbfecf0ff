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

// Enough to get past two lost VMs; more would only lengthen the answer.
constexpr std::size_t MaxAddresses = 4;

void respondRefusal(ResponseSink &Sink, const common::RequestId &Id,
                    common::ResultCode Code) {
  Sink.respond([Id, Code] { return JsonCodec::encodeRefusal(Id, Code); });
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

} // namespace

CallDispatcher::CallDispatcher(common::VmId Self, common::Incarnation OwnRun,
                               traffic::TrafficGateway &Gateway,
                               AuditSource &Audit, const common::Clock &Time,
                               common::RandomSource &Random)
    : Vm(std::move(Self)), Run(OwnRun), Traffic(Gateway), Trail(Audit),
      Ticker(Time), Advisor(Random) {}

void CallDispatcher::dispatch(const CallerRequest &Request,
                              std::shared_ptr<ResponseSink> Sink) {
  const std::string Call = Request.Method + " " + Request.Path;
  if (Call == "POST /v1/query")
    this->runQuery(Request, std::move(Sink));
  else if (Call == "POST /v1/tickets")
    this->issueTicket(Request, std::move(Sink));
  else if (Call == "GET /v1/addresses")
    this->adviseAddresses(*Sink);
  else if (Call == "GET /v1/status")
    this->showStatus(std::move(Sink));
  else if (Call == "GET /v1/audit")
    this->showAudit(Request, std::move(Sink));
  else if (Call == "GET /metrics")
    this->showMetrics(std::move(Sink));
  else
    respondRefusal(*Sink, {}, common::ResultCode::NotFound);
}

void CallDispatcher::runQuery(const CallerRequest &Request,
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
  this->Traffic.submit(std::move(Query), std::make_shared<ReplyResponder>(
                                             Encode, std::move(Sink)));
}

void CallDispatcher::issueTicket(const CallerRequest &Request,
                                 std::shared_ptr<ResponseSink> Sink) {
  const auto Decoded = JsonCodec::decodeTicketRequest(Request);
  if (const auto *Error = std::get_if<DecodeError>(&Decoded)) {
    respondRefusal(*Sink, Error->Id, Error->Code);
    return;
  }
  this->Traffic.requestTicket(std::get<common::ClassName>(Decoded),
                              std::make_shared<TicketResponder>(
                                  &JsonCodec::encodeTicket, std::move(Sink)));
}

// An empty list would keep the caller from asking again for its validity.
void CallDispatcher::adviseAddresses(ResponseSink &Sink) {
  const auto View = this->Traffic.view();
  const bool IsServing = View->State == membership::ServingState::Serving;
  std::vector<routing::AddressCandidate> Advised;
  {
    const std::lock_guard Guard(this->AdvisorMutex);
    Advised = this->Advisor.advise(View->EntryVms, IsServing,
                                   this->Ticker.monotonicNow(), MaxAddresses);
  }
  if (Advised.empty()) {
    respondRefusal(Sink, {}, common::ResultCode::NotServing);
    return;
  }
  Sink.respond([Given = std::move(Advised)] {
    return JsonCodec::encodeAddresses(Given, membership::AddressValidity);
  });
}

void CallDispatcher::showStatus(std::shared_ptr<ResponseSink> Sink) {
  const auto Encode = [this](const std::vector<metrics::ClassReport> &Reports) {
    return StatusPage::render(this->Vm, this->Run, *this->Traffic.view(),
                              Reports, this->Ticker.monotonicNow());
  };
  this->Traffic.requestReports(
      std::make_shared<ReportResponder>(Encode, std::move(Sink)));
}

void CallDispatcher::showMetrics(std::shared_ptr<ResponseSink> Sink) {
  const auto Encode = [](const std::vector<metrics::ClassReport> &Reports) {
    return HttpResponse{200, metrics::MetricsPage::render(Reports),
                        "text/plain; version=0.0.4"};
  };
  this->Traffic.requestReports(
      std::make_shared<ReportResponder>(Encode, std::move(Sink)));
}

void CallDispatcher::showAudit(const CallerRequest &Request,
                               std::shared_ptr<ResponseSink> Sink) {
  const auto After = parseNumber(Request.After.value_or("0"));
  if (!After) {
    respondRefusal(*Sink, {}, common::ResultCode::MalformedRequest);
    return;
  }
  const auto Encode = [](const std::vector<control::AuditEntry> &Entries) {
    return JsonCodec::encodeAudit(Entries);
  };
  this->Trail.requestAfter(
      *After, std::make_shared<AuditResponder>(Encode, std::move(Sink)));
}

} // namespace acaciacross::frontend
