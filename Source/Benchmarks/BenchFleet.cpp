#include "Benchmarks/BenchFleet.h"

#include <cmath>

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Seed = 20261204;

} // namespace

BenchFleet::BenchFleet(std::size_t VmCount,
                       const std::vector<BenchClass> &Classes,
                       testsupport::FakeSearcherSettings SearcherSettings)
    : Random(Seed), Settings(SearcherSettings),
      Searchers(this->Events, this->Random, SearcherSettings,
                this->Builder.Searchers,
                [this](const query::AttemptResult &Result) {
                  // The incarnation of a VM is its number, counted from 1.
                  this->Vms[Result.Attempt.Issuer.Value - 1]->runner().onResult(
                      Result);
                }) {
  const auto View = this->Builder.build();
  this->Searchers.publish(View->Snapshots[0]);
  for (std::size_t I = 0; I < VmCount; ++I) {
    this->Vms.push_back(std::make_unique<BenchVm>(
        this->Events, I + 1, View, Classes, [this](const AnswerRecord &Answer) {
          this->Answers.push_back(Answer);
        }));
    this->Vms.back()->runner().setSearchers(this->Searchers);
  }
}

void BenchFleet::startArrivals(const common::ClassName &Class, double Rate,
                               std::chrono::seconds Duration,
                               bool UsesAdmission) {
  this->scheduleNextArrival(Class, Rate, this->Events.now() + Duration,
                            UsesAdmission);
}

void BenchFleet::scheduleNextArrival(const common::ClassName &Class,
                                     double Rate, common::MonotonicTime End,
                                     bool UsesAdmission) {
  // Exponential gaps, because callers do not wait for each other.
  const double Gap = -std::log(1.0 - this->Random.unitInterval()) / Rate;
  const auto ArrivalTime =
      this->Events.now() +
      std::chrono::nanoseconds(static_cast<std::int64_t>(Gap * 1e9));
  if (ArrivalTime >= End)
    return;
  this->Events.at(ArrivalTime, [=, this] {
    BenchVm &Vm = *this->Vms[this->Random.below(this->Vms.size())];
    if (UsesAdmission)
      Vm.offer(Class);
    else
      Vm.submit(Class);
    this->scheduleNextArrival(Class, Rate, End, UsesAdmission);
  });
}

testsupport::EventQueue &BenchFleet::events() { return this->Events; }

testsupport::FakeSearchers &BenchFleet::searchers() { return this->Searchers; }

const testsupport::FakeSearchers &BenchFleet::searchers() const {
  return this->Searchers;
}

const std::vector<AnswerRecord> &BenchFleet::answers() const {
  return this->Answers;
}

query::QueryStatistics BenchFleet::statistics() const {
  query::QueryStatistics Sum;
  for (const auto &Vm : this->Vms)
    Sum += Vm->statistics();
  return Sum;
}

double BenchFleet::capacity() const {
  const auto SlowReplyOneIn =
      static_cast<double>(this->Settings.SlowReplyOneIn);
  const double SlowOverhead =
      SlowReplyOneIn == 0.0
          ? 0.0
          : (this->Settings.SlowFactor - 1.0) / SlowReplyOneIn;
  const double Seconds =
      std::chrono::duration<double>(this->Settings.MeanServiceTime).count() *
      (1.0 + SlowOverhead);
  const auto Slots =
      static_cast<double>(this->Builder.Searchers * this->Settings.Slots);
  return Slots / Seconds;
}

} // namespace acaciacross::benchmarks
