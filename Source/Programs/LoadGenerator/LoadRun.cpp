#include "Programs/LoadGenerator/LoadRun.h"

#include "Programs/LoadGenerator/CallerCodec.h"

#include <algorithm>

namespace acaciacross::loadgenerator {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds CallTimeout{1'000};
constexpr milliseconds PauseBetweenAsks{100};
/// Replies are waited for this long after the deadline of their request.
constexpr milliseconds Grace{500};
constexpr milliseconds LongestWait{50};

} // namespace

LoadRun::LoadRun(const LoadSettings &Settings)
    : Settings(Settings), Random(Settings.Seed + 1) {}

LoadReport LoadRun::run() {
  const AttemptCounts Before = this->countAttempts();
  ArrivalSchedule Schedule(this->Settings);
  this->Started = steady_clock::now();
  auto Next = Schedule.next();
  while (Next || !this->Waiting.empty() || this->Calls.inFlight() > 0) {
    const auto Now = steady_clock::now();
    for (; Next && this->Started + Next->SendAt <= Now; Next = Schedule.next())
      this->admit(*Next);
    this->sendWaiting();
    milliseconds Wait = LongestWait;
    if (Next)
      Wait = std::clamp(std::chrono::ceil<milliseconds>(
                            this->Started + Next->SendAt - steady_clock::now()),
                        milliseconds(0), LongestWait);
    this->Calls.run(Wait);
  }
  const AttemptCounts After = this->countAttempts();
  this->Report.setAttempts(
      {After.First - Before.First, After.Extra - Before.Extra});
  return this->Report;
}

AttemptCounts LoadRun::countAttempts() {
  AttemptCounts Counted;
  for (const common::Address &Vm : this->Settings.EntryVms)
    this->Calls.start({Vm, "/metrics", "", CallTimeout,
                       [&Counted](long Status, const std::string &Page) {
                         if (Status == 200)
                           Counted.addPage(Page);
                       }});
  while (this->Calls.inFlight() > 0)
    this->Calls.run(LongestWait);
  return Counted;
}

void LoadRun::admit(const Arrival &Next) {
  const ClassShare &Class = this->Settings.Mix[Next.ClassIndex];
  ++this->Admitted;
  if (this->Waiting.size() + this->Calls.inFlight() >=
      this->Settings.MaxInFlight) {
    this->Report.addWithoutAnswer(Class.Name.Value, "not_sent");
    return;
  }
  this->Waiting.push_back({"load-" + std::to_string(this->Settings.Seed) + '-' +
                               std::to_string(this->Admitted),
                           Class, this->Started + Next.SendAt, ""});
}

void LoadRun::sendWaiting() {
  while (!this->Waiting.empty()) {
    if (this->timeLeft(this->Waiting.front()) <= milliseconds(0)) {
      this->Report.addWithoutAnswer(this->Waiting.front().Class.Name.Value,
                                    "not_sent");
      this->Waiting.pop_front();
      continue;
    }
    const auto Where = this->Book.pick(steady_clock::now(), this->Random);
    if (!Where) {
      this->askForAddresses();
      return;
    }
    this->send(*Where, this->Waiting.front());
    this->Waiting.pop_front();
  }
}

void LoadRun::askForAddresses() {
  const auto Now = steady_clock::now();
  if (this->AskingForAddresses || Now < this->AskAgainAt)
    return;
  this->AskingForAddresses = true;
  const common::Address &Vm =
      this->Settings
          .EntryVms[this->Random.below(this->Settings.EntryVms.size())];
  this->Calls.start(
      {Vm, "/v1/addresses", "", CallTimeout,
       [this, Now](long Status, const std::string &Body) {
         this->AskingForAddresses = false;
         this->AskAgainAt = steady_clock::now() + PauseBetweenAsks;
         const auto Answer = CallerCodec::decodeAddresses(Body);
         // Valid from the question on, so that a slow reply shortens it.
         if (Status == 200 && Answer)
           this->Book.store(Answer->Addresses, Now + Answer->Validity);
       }});
}

void LoadRun::send(const common::Address &Where, const Request &Ready) {
  if (Ready.Class.NeedsTicket)
    this->sendTicketRequest(Where, Ready);
  else
    this->sendQuery(Where, Ready);
}

void LoadRun::sendTicketRequest(const common::Address &Where,
                                const Request &Ready) {
  const std::string Body =
      CallerCodec::encodeTicketRequest(Ready.Class.Name.Value);
  const auto Done = [this, Where, Ready](long Status,
                                         const std::string &Reply) {
    const auto Ticket = CallerCodec::decodeTicket(Reply);
    if (Status != 200 || !Ticket || this->timeLeft(Ready) <= milliseconds(0)) {
      this->Report.addWithoutAnswer(Ready.Class.Name.Value, "no_ticket");
      return;
    }
    Request WithTicket = Ready;
    WithTicket.Ticket = *Ticket;
    this->sendQuery(Where, WithTicket);
  };
  this->Calls.start(
      {Where, "/v1/tickets", Body, this->timeLeft(Ready) + Grace, Done});
}

void LoadRun::sendQuery(const common::Address &Where, const Request &Ready) {
  const std::string Body = CallerCodec::encodeQuery(
      Ready.Id, Ready.Class.Name.Value, this->timeLeft(Ready), Ready.Ticket);
  this->Calls.start({Where, "/v1/query", Body, this->timeLeft(Ready) + Grace,
                     [this, Ready](long Status, const std::string &Reply) {
                       this->answered(Ready, Status, Reply);
                     }});
}

void LoadRun::answered(const Request &Sent, long Status,
                       const std::string &Body) {
  const auto Answer = CallerCodec::decodeAnswer(Body);
  if (Status == 0 || !Answer) {
    this->Book.expire();
    this->Report.addWithoutAnswer(Sent.Class.Name.Value, "broken");
    return;
  }
  if (Answer->Outcome != "complete" && Answer->Outcome != "partial") {
    this->Report.addWithoutAnswer(Sent.Class.Name.Value, Answer->Outcome);
    return;
  }
  this->Report.addAnswer(Sent.Class.Name.Value, Answer->Outcome,
                         std::chrono::duration_cast<std::chrono::microseconds>(
                             steady_clock::now() - Sent.SendAt),
                         Answer->Coverage);
}

milliseconds LoadRun::timeLeft(const Request &Sent) const {
  return std::chrono::floor<milliseconds>(
      Sent.SendAt + this->Settings.Deadline - steady_clock::now());
}

} // namespace acaciacross::loadgenerator
