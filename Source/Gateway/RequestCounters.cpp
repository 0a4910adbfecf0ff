#include "Gateway/RequestCounters.h"

namespace acaciacross::gateway {

namespace {

using forwarding::AnswerKind;

// Limits memory: removed routes keep their counts, and configurations can name
// any number of routes over time. Routes beyond this are counted together.
constexpr std::size_t MaxRoutes = 200;
constexpr const char *OtherRoutesLabel = "other";

const char *nameOf(AnswerKind Kind) {
  switch (Kind) {
  case AnswerKind::Upstream:
    return "upstream";
  case AnswerKind::Gathered:
    return "gathered";
  case AnswerKind::Refused:
    return "refused";
  case AnswerKind::Failed:
    return "failed";
  }
  return "unknown";
}

} // namespace

void RequestCounters::recordAnswer(const std::string &Route, int Priority,
                                   AnswerKind Kind, common::ResultCode Code,
                                   std::size_t MissingShards,
                                   std::chrono::nanoseconds Latency,
                                   std::chrono::milliseconds Target) {
  RouteCounts &Counts = this->countsFor(Route);
  ++Counts.Answers[{Kind, Code}];
  (Kind == AnswerKind::Refused ? this->Refused : this->Admitted).add(Priority);
  Counts.MissingShards += MissingShards;
  const bool IsAnswered =
      Kind == AnswerKind::Upstream || Kind == AnswerKind::Gathered;
  if (!IsAnswered)
    return;
  Counts.Latency.add(Latency);
  Counts.Late += Latency > Target ? 1 : 0;
}

void RequestCounters::noteAbandoned(const std::string &Route) {
  ++this->countsFor(Route).Abandoned;
}

void RequestCounters::noteUnrouted(common::ResultCode Code) {
  ++this->Unrouted[Code];
}

void RequestCounters::write(std::ostream &Page) const {
  Page << "# TYPE acaciacross_answers_total counter\n";
  for (const auto &[Route, Counts] : this->Routes)
    for (const auto &[Outcome, Count] : Counts.Answers)
      Page << "acaciacross_answers_total{route=\"" << Route << "\",kind=\""
           << nameOf(Outcome.first) << "\",result=\""
           << common::resultCodeName(Outcome.second) << "\"} " << Count << '\n';
  this->Admitted.write(Page, "acaciacross_admitted_total");
  this->Refused.write(Page, "acaciacross_refused_total");
  Page << "# TYPE acaciacross_unrouted_total counter\n";
  for (const auto &[Code, Count] : this->Unrouted)
    Page << "acaciacross_unrouted_total{result=\""
         << common::resultCodeName(Code) << "\"} " << Count << '\n';
  Page << "# TYPE acaciacross_abandoned_total counter\n"
       << "# TYPE acaciacross_late_total counter\n"
       << "# TYPE acaciacross_missing_shards_total counter\n"
       << "# TYPE acaciacross_answer_seconds histogram\n";
  for (const auto &[Route, Counts] : this->Routes) {
    const std::string Label = "route=\"" + Route + "\"";
    Page << "acaciacross_abandoned_total{" << Label << "} " << Counts.Abandoned
         << "\nacaciacross_late_total{" << Label << "} " << Counts.Late
         << "\nacaciacross_missing_shards_total{" << Label << "} "
         << Counts.MissingShards << '\n';
    Counts.Latency.write(Page, "acaciacross_answer_seconds", Label);
  }
}

RequestCounters::RouteCounts &
RequestCounters::countsFor(const std::string &Route) {
  const auto Found = this->Routes.find(Route);
  if (Found != this->Routes.end())
    return Found->second;
  return this
      ->Routes[this->Routes.size() < MaxRoutes ? Route : OtherRoutesLabel];
}

} // namespace acaciacross::gateway
