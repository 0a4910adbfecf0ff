#include "Frontend/StatusPage.h"

#include "Frontend/MissReasons.h"
#include "Json/JsonWriter.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::frontend {

namespace {

using json::JsonWriter;

const char *toText(membership::ServingState State) {
  switch (State) {
  case membership::ServingState::Joining:
    return "joining";
  case membership::ServingState::Serving:
    return "serving";
  case membership::ServingState::Leaving:
    return "leaving";
  }
  return "unknown";
}

const char *toText(query::SearcherAvailability Availability) {
  switch (Availability) {
  case query::SearcherAvailability::Usable:
    return "usable";
  case query::SearcherAvailability::Ejected:
    return "ejected";
  case query::SearcherAvailability::Leaving:
    return "leaving";
  }
  return "unknown";
}

const char *toText(MissReason Reason) {
  switch (Reason) {
  case MissReason::ConcurrencyLimit:
    return "limit";
  case MissReason::BudgetEmpty:
    return "budget empty";
  case MissReason::MissingReplicas:
    return "missing replicas";
  case MissReason::SlowUpstreams:
    return "slow upstreams";
  }
  return "unknown";
}

double milliseconds(std::chrono::nanoseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void writeTarget(JsonWriter &Json,
                 const configuration::ClassDefinition &Class) {
  Json.key("target")
      .beginObject()
      .key("latency_ms")
      .real(milliseconds(Class.LatencyTarget))
      .key("percentile")
      .real(Class.TargetPercentile)
      .key("coverage")
      .real(Class.CoverageTarget)
      .key("extra_load")
      .real(Class.ExtraLoadTarget)
      .endObject();
}

// Latency and coverage are defined only when there are answers.
void writeAchieved(JsonWriter &Json, const metrics::ClassReport &Report) {
  Json.key("achieved").beginObject().key("answers").number(Report.Answers);
  if (Report.Answers > 0)
    Json.key("latency_ms")
        .real(milliseconds(Report.LatencyAtTargetPercentile))
        .key("coverage")
        .real(Report.MeanCoverage);
  Json.key("extra_load").real(Report.extraLoad()).endObject();
  Json.key("extra_load_budget")
      .number(Report.ExtraAttemptsLeft)
      .key("running")
      .number(Report.Running);
}

void writeReasons(JsonWriter &Json, const control::ControlView &View,
                  const configuration::ClassDefinition &Class,
                  const metrics::ClassReport &Report) {
  const auto Service = View.Services.find(Class.Service);
  const query::ServiceView *KnownService =
      Service == View.Services.end() ? nullptr : Service->second.get();
  Json.key("missed_because").beginArray();
  for (const MissReason Reason : missReasons(Class, Report, KnownService))
    Json.string(toText(Reason));
  Json.endArray();
}

const metrics::ClassReport *
findReport(std::span<const metrics::ClassReport> Reports,
           const configuration::ClassDefinition &Class) {
  const auto Match = std::find_if(
      Reports.begin(), Reports.end(), [&](const metrics::ClassReport &Report) {
        return Report.Name == Class.Name && Report.Service == Class.Service;
      });
  return Match == Reports.end() ? nullptr : &*Match;
}

void writeClasses(JsonWriter &Json, const control::ControlView &View,
                  std::span<const metrics::ClassReport> Reports) {
  Json.key("classes").beginArray();
  for (const auto &[Name, Class] : View.Classes) {
    Json.beginObject()
        .key("name")
        .string(Name.Value)
        .key("service")
        .string(Class.Service.Value)
        .key("repeatable")
        .boolean(Class.Repeatable);
    writeTarget(Json, Class);
    if (const auto *Report = findReport(Reports, Class)) {
      writeAchieved(Json, *Report);
      writeReasons(Json, View, Class, *Report);
    }
    Json.endObject();
  }
  Json.endArray();
}

void writeServices(JsonWriter &Json, const control::ControlView &View) {
  Json.key("services").beginArray();
  for (const auto &[Name, Service] : View.Services) {
    Json.beginObject().key("name").string(Name.Value);
    Json.key("snapshots").beginArray();
    for (const query::SnapshotView &Snapshot : Service->Snapshots)
      Json.string(Snapshot.Id.Value);
    Json.endArray().key("searchers").beginArray();
    for (const query::SearcherView &Searcher : Service->Searchers)
      Json.beginObject()
          .key("id")
          .string(Searcher.Id.Value)
          .key("address")
          .string(Searcher.Endpoint.toString())
          .key("state")
          .string(toText(Searcher.Availability))
          .key("share")
          .real(Searcher.SlowStartWeight)
          .key("connection_quota")
          .number(Searcher.ConnectionQuota)
          .endObject();
    Json.endArray().endObject();
  }
  Json.endArray();
}

// The first candidate is this VM, for which there is no evidence age.
void writeFleet(JsonWriter &Json, const control::ControlView &View,
                common::MonotonicTime Now) {
  Json.key("fleet").beginArray();
  for (std::size_t I = 0; I < View.EntryVms.size(); ++I) {
    const routing::AddressCandidate &Candidate = View.EntryVms[I];
    Json.beginObject()
        .key("vm")
        .string(Candidate.Vm.Value)
        .key("address")
        .string(Candidate.CallerAddress.toString())
        .key("failure_domain")
        .string(Candidate.FailureDomain);
    if (I > 0)
      Json.key("evidence_age_ms")
          .real(milliseconds(Now - Candidate.EvidenceAt));
    Json.endObject();
  }
  Json.endArray();
}

} // namespace

HttpResponse StatusPage::render(const common::VmId &Vm,
                                common::Incarnation Incarnation,
                                const control::ControlView &View,
                                std::span<const metrics::ClassReport> Reports,
                                common::MonotonicTime Now) {
  JsonWriter Json;
  Json.beginObject()
      .key("vm")
      .string(Vm.Value)
      // A string, because many JSON parsers round numbers above 2^53.
      .key("incarnation")
      .string(std::to_string(Incarnation.Value))
      .key("state")
      .string(toText(View.State))
      .key("revision")
      .number(View.RevisionInEffect.Value)
      .key("view_age_ms")
      .real(milliseconds(Now - View.PublishedAt));
  writeClasses(Json, View, Reports);
  writeServices(Json, View);
  writeFleet(Json, View, Now);
  Json.endObject();
  return {200, Json.text()};
}

} // namespace acaciacross::frontend
