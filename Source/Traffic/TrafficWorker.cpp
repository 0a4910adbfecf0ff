#include "Traffic/TrafficWorker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace acaciacross::traffic {

namespace {

// Only an upper limit: posted tasks, sockets and timers end a wait earlier.
constexpr std::chrono::milliseconds MaxWait{1000};

// The engine uses the seed itself; the polls need a different random sequence.
constexpr std::uint64_t PollSeedMask = 0x9e3779b97f4a7c15;

} // namespace

TrafficWorker::TrafficWorker(EngineSettings Settings, const common::Clock &Time,
                             control::EvidenceSink &Evidence)
    : TimeSource(Time), Name(Settings.Service), Sink(Evidence), Sender(Time),
      PollRandom(PollSeedMask ^ Settings.RandomSeed),
      Polls({}, this->PollRandom),
      Engine(std::move(Settings), this->Sender, Time),
      Tasks([this] { this->Sender.wake(); }), Thread([this] { this->run(); }) {}

TrafficWorker::~TrafficWorker() {
  this->beginStop(std::chrono::milliseconds::zero());
  this->join();
}

void TrafficWorker::post(Task Work) { this->Tasks.post(std::move(Work)); }

// Views must not accumulate while the thread is blocked, so that only the
// newest one is kept.
void TrafficWorker::updateView(
    std::shared_ptr<const control::ControlView> View) {
  bool IsUpdatePending = false;
  {
    const std::lock_guard Guard(this->ViewMutex);
    IsUpdatePending = this->NextView != nullptr;
    this->NextView = std::move(View);
  }
  if (!IsUpdatePending)
    this->post([this](ServiceEngine &) { this->applyNextView(); });
}

void TrafficWorker::applyNextView() {
  std::shared_ptr<const control::ControlView> View;
  {
    const std::lock_guard Guard(this->ViewMutex);
    View = std::exchange(this->NextView, nullptr);
  }
  this->applyLimits(*View);
  const auto Service = View->Services.find(this->Name);
  this->Polls.updateService(Service == View->Services.end() ? nullptr
                                                            : Service->second,
                            this->TimeSource.monotonicNow());
  this->Engine.updateView(*View);
}

// libcurl has one limit for all hosts of a handle, so the smallest quota of the
// service applies. Quotas of 0 are skipped, since such searchers are not
// selected.
void TrafficWorker::applyLimits(const control::ControlView &View) {
  const auto Service = View.Services.find(this->Name);
  if (Service == View.Services.end())
    return;
  std::uint32_t Smallest = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t Total = 0;
  for (const query::SearcherView &Searcher : Service->second->Searchers) {
    if (Searcher.ConnectionQuota == 0)
      continue;
    Smallest = std::min(Smallest, Searcher.ConnectionQuota);
    Total += Searcher.ConnectionQuota;
  }
  if (Total > 0)
    this->Sender.setConnectionLimits(Smallest, Total);
}

void TrafficWorker::beginStop(std::chrono::milliseconds Grace) {
  this->post([this, Grace](ServiceEngine &) {
    const common::MonotonicTime GraceEnd =
        this->TimeSource.monotonicNow() + Grace;
    this->StopAt =
        this->IsStopping ? std::min(this->StopAt, GraceEnd) : GraceEnd;
    this->IsStopping = true;
  });
}

void TrafficWorker::join() {
  if (this->Thread.joinable())
    this->Thread.join();
}

void TrafficWorker::run() {
  this->Sender.setReservedConnectionSink(this->Engine);
  while (true) {
    for (const Task &Work : this->Tasks.drain())
      Work(this->Engine);
    this->Engine.onAttemptsEnded(this->Sender.perform());
    this->Engine.onTimers();
    this->processPolls();
    if (auto Evidence = this->Engine.takeEvidence(); !Evidence.empty())
      this->Sink.reportEvidence(std::move(Evidence));
    if (this->shouldStop())
      break;
    this->Sender.wait(this->untilNextEvent());
  }
  this->Engine.abortAll();
}

// Called after the attempts of an iteration are processed, since attempts have
// priority over polls.
void TrafficWorker::processPolls() {
  std::vector<upstreams::PolledPage> Pages;
  for (const FinishedPoll &Finished : this->Sender.takeFinishedPolls()) {
    if (const auto Next = this->Polls.onPollFinished(Finished, this->Sender))
      this->Sender.startPoll(*Next);
    if (Finished.Page)
      Pages.push_back(*Finished.Page);
  }
  if (!Pages.empty())
    this->Sink.reportPages(std::move(Pages));
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  for (const PagePoll &Due : this->Polls.takeDue(Now, this->Sender))
    this->Sender.startPoll(Due);
}

bool TrafficWorker::shouldStop() const {
  return this->IsStopping && (this->Engine.openQueryCount() == 0 ||
                              this->TimeSource.monotonicNow() >= this->StopAt);
}

std::chrono::milliseconds TrafficWorker::untilNextEvent() const {
  common::MonotonicTime Next = this->TimeSource.monotonicNow() + MaxWait;
  if (const auto Timer = this->Engine.nextTimer())
    Next = std::min(Next, *Timer);
  if (const auto Due = this->Polls.nextDue())
    Next = std::min(Next, *Due);
  if (this->IsStopping)
    Next = std::min(Next, this->StopAt);
  // Rounded up, because a wait that ends before the timer would be repeated at
  // once.
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Next - this->TimeSource.monotonicNow());
  return std::max(Left, std::chrono::milliseconds::zero());
}

} // namespace acaciacross::traffic
