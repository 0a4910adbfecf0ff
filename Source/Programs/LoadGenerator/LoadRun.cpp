#include "Programs/LoadGenerator/LoadRun.h"

#include "Programs/LoadGenerator/CallerCodec.h"

#include <algorithm>

namespace acaciacross::loadgenerator {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds ControlCallTimeout{1'000};
constexpr milliseconds AddressRequestPause{100};
/// How long after its deadline a request still waits for the response.
constexpr milliseconds ReplyGracePeriod{500};
constexpr milliseconds MaxPollWait{50};

} // namespace

LoadRun::LoadRun(const LoadSettings &Settings)
    : Settings(Settings), Random(Settings.Seed + 1) {}

LoadReport LoadRun::run() {
  const AttemptCounts Before = this->fetchAttemptCounts();
  ArrivalSchedule Schedule(this->Settings);
  this->StartedAt = steady_clock::now();
  auto Next = Schedule.next();
  while (Next || !this->WaitingRequests.empty() ||
         this->Calls.inFlightCount() > 0) {
    const auto Now = steady_clock::now();
    for (; Next && this->StartedAt + Next->SendAt <= Now;
         Next = Schedule.next())
      this->enqueue(*Next);
    this->sendWaiting();
    milliseconds Wait = MaxPollWait;
    if (Next)
      Wait =
          std::clamp(std::chrono::ceil<milliseconds>(
                         this->StartedAt + Next->SendAt - steady_clock::now()),
                     milliseconds(0), MaxPollWait);
    this->Calls.run(Wait);
  }
  const AttemptCounts After = this->fetchAttemptCounts();
  this->Report.setAttempts(
      {After.First - Before.First, After.Extra - Before.Extra});
  return this->Report;
}

AttemptCounts LoadRun::fetchAttemptCounts() {
  AttemptCounts Counts;
  for (const common::Address &Vm : this->Settings.EntryVms)
    this->Calls.start({Vm, "/metrics", "", ControlCallTimeout,
                       [&Counts](long Status, const std::string &Page) {
                         if (Status == 200)
                           Counts.addPage(Page);
                       }});
  while (this->Calls.inFlightCount() > 0)
    this->Calls.run(MaxPollWait);
  return Counts;
}

void LoadRun::enqueue(const Arrival &Next) {
  const ClassShare &Class = this->Settings.Mix[Next.ClassIndex];
  ++this->ArrivalCount;
  if (this->WaitingRequests.size() + this->Calls.inFlightCount() >=
      this->Settings.MaxInFlight) {
    this->Report.addWithoutAnswer(Class.Name.Value, "not_sent");
    return;
  }
  this->WaitingRequests.push_back({"load-" +
                                       std::to_string(this->Settings.Seed) +
                                       '-' + std::to_string(this->ArrivalCount),
                                   Class, this->StartedAt + Next.SendAt, ""});
}

void LoadRun::sendWaiting() {
  while (!this->WaitingRequests.empty()) {
    if (this->timeLeft(this->WaitingRequests.front()) <= milliseconds(0)) {
      this->Report.addWithoutAnswer(
          this->WaitingRequests.front().Class.Name.Value, "not_sent");
      this->WaitingRequests.pop_front();
      continue;
    }
    const auto Target = this->Addresses.pick(steady_clock::now(), this->Random);
    if (!Target) {
      this->requestAddresses();
      return;
    }
    this->send(*Target, this->WaitingRequests.front());
    this->WaitingRequests.pop_front();
  }
}

void LoadRun::requestAddresses() {
  const auto Now = steady_clock::now();
  if (this->IsRequestingAddresses || Now < this->NextAddressRequestAt)
    return;
  this->IsRequestingAddresses = true;
  const common::Address &Vm =
      this->Settings
          .EntryVms[this->Random.below(this->Settings.EntryVms.size())];
  this->Calls.start(
      {Vm, "/v1/addresses", "", ControlCallTimeout,
       [this, Now](long Status, const std::string &Body) {
         this->IsRequestingAddresses = false;
         this->NextAddressRequestAt = steady_clock::now() + AddressRequestPause;
         const auto Answer = CallerCodec::decodeAddresses(Body);
         // The validity starts when the request is sent, so that a slow
         // response does not extend it.
         if (Status == 200 && Answer)
           this->Addresses.store(Answer->Addresses, Now + Answer->Validity);
       }});
}

void LoadRun::send(const common::Address &Target, const Request &Query) {
  if (Query.Class.NeedsTicket)
    this->sendTicketRequest(Target, Query);
  else
    this->sendQuery(Target, Query);
}

void LoadRun::sendTicketRequest(const common::Address &Target,
                                const Request &Query) {
  const std::string Body =
      CallerCodec::encodeTicketRequest(Query.Class.Name.Value);
  const auto OnCompleted = [this, Target, Query](long Status,
                                                 const std::string &Reply) {
    const auto Ticket = CallerCodec::decodeTicket(Reply);
    if (Status != 200 || !Ticket || this->timeLeft(Query) <= milliseconds(0)) {
      this->Report.addWithoutAnswer(Query.Class.Name.Value, "no_ticket");
      return;
    }
    Request WithTicket = Query;
    WithTicket.Ticket = *Ticket;
    this->sendQuery(Target, WithTicket);
  };
  this->Calls.start({Target, "/v1/tickets", Body,
                     this->timeLeft(Query) + ReplyGracePeriod, OnCompleted});
}

void LoadRun::sendQuery(const common::Address &Target, const Request &Query) {
  const std::string Body = CallerCodec::encodeQuery(
      Query.Id, Query.Class.Name.Value, this->timeLeft(Query), Query.Ticket);
  this->Calls.start({Target, "/v1/query", Body,
                     this->timeLeft(Query) + ReplyGracePeriod,
                     [this, Query](long Status, const std::string &Reply) {
                       this->answered(Query, Status, Reply);
                     }});
}

void LoadRun::answered(const Request &Query, long Status,
                       const std::string &Body) {
  const auto Answer = CallerCodec::decodeAnswer(Body);
  if (Status == 0 || !Answer) {
    this->Addresses.expire();
    this->Report.addWithoutAnswer(Query.Class.Name.Value, "broken");
    return;
  }
  if (Answer->Outcome != "complete" && Answer->Outcome != "partial") {
    this->Report.addWithoutAnswer(Query.Class.Name.Value, Answer->Outcome);
    return;
  }
  this->Report.addAnswer(Query.Class.Name.Value, Answer->Outcome,
                         std::chrono::duration_cast<std::chrono::microseconds>(
                             steady_clock::now() - Query.SendAt),
                         Answer->Coverage);
}

milliseconds LoadRun::timeLeft(const Request &Query) const {
  return std::chrono::floor<milliseconds>(
      Query.SendAt + this->Settings.Deadline - steady_clock::now());
}

} // namespace acaciacross::loadgenerator
