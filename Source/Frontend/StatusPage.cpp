#include "Frontend/StatusPage.h"

#include "Frontend/MissReasons.h"
#include "Json/JsonWriter.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::frontend {

namespace {

using json::JsonWriter;

const char *nameOf(membership::ServingState State) {
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

const char *nameOf(query::SearcherAvailability Availability) {
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

const char *nameOf(MissReason Reason) {
  switch (Reason) {
  case MissReason::Limit:
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

// Without answers there is no latency and no coverage to state.
void writeAchieved(JsonWriter &Json, const metrics::ClassReport &Report) {
  Json.key("achieved").beginObject().key("answers").number(Report.Answers);
  if (Report.Answers > 0)
    Json.key("latency_ms")
        .real(milliseconds(Report.LatencyAtTarget))
        .key("coverage")
        .real(Report.MeanCoverage);
  Json.key("extra_load").real(Report.extraLoad()).endObject();
  Json.key("extra_load_budget")
      .number(Report.BudgetLeft)
      .key("running")
      .number(Report.Running);
}

void writeReasons(JsonWriter &Json, const control::ControlView &View,
                  const configuration::ClassDefinition &Class,
                  const metrics::ClassReport &Report) {
  const auto Service = View.Services.find(Class.Service);
  const query::ServiceView *Known =
      Service == View.Services.end() ? nullptr : Service->second.get();
  Json.key("missed_because").beginArray();
  for (const MissReason Reason : missReasons(Class, Report, Known))
    Json.string(nameOf(Reason));
  Json.endArray();
}

const metrics::ClassReport *find(std::span<const metrics::ClassReport> Reports,
                                 const configuration::ClassDefinition &Class) {
  const auto Found = std::find_if(
      Reports.begin(), Reports.end(), [&](const metrics::ClassReport &Each) {
        return Each.Name == Class.Name && Each.Service == Class.Service;
      });
  return Found == Reports.end() ? nullptr : &*Found;
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
    if (const auto *Report = find(Reports, Class)) {
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
          .string(nameOf(Searcher.Availability))
          .key("share")
          .real(Searcher.Share)
          .key("connection_quota")
          .number(Searcher.ConnectionQuota)
          .endObject();
    Json.endArray().endObject();
  }
  Json.endArray();
}

// The first candidate is this VM, which needs no evidence.
void writeFleet(JsonWriter &Json, const control::ControlView &View,
                common::MonotonicTime Now) {
  Json.key("fleet").beginArray();
  for (std::size_t I = 0; I < View.EntryVms.size(); ++I) {
    const routing::AddressCandidate &Each = View.EntryVms[I];
    Json.beginObject()
        .key("vm")
        .string(Each.Vm.Value)
        .key("address")
        .string(Each.Callers.toString())
        .key("failure_domain")
        .string(Each.FailureDomain);
    if (I > 0)
      Json.key("evidence_age_ms").real(milliseconds(Now - Each.EvidenceAt));
    Json.endObject();
  }
  Json.endArray();
}

} // namespace

HttpResponse StatusPage::render(const common::VmId &Vm, common::Incarnation Run,
                                const control::ControlView &View,
                                std::span<const metrics::ClassReport> Reports,
                                common::MonotonicTime Now) {
  JsonWriter Json;
  Json.beginObject()
      .key("vm")
      .string(Vm.Value)
      // As text: JSON readers round numbers above 2^53.
      .key("incarnation")
      .string(std::to_string(Run.Value))
      .key("state")
      .string(nameOf(View.State))
      .key("revision")
      .number(View.InEffect.Value)
      .key("view_age_ms")
      .real(milliseconds(Now - View.PublishedAt));
  writeClasses(Json, View, Reports);
  writeServices(Json, View);
  writeFleet(Json, View, Now);
  Json.endObject();
  return {200, Json.text()};
}

} // namespace acaciacross::frontend
