#include "Traffic/TrafficWorker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace acaciacross::traffic {

namespace {

// Nothing depends on this wait ending early: posts and sockets wake the thread.
constexpr std::chrono::milliseconds LongestWait{1000};

// The engine draws from the seed itself; the polls must not draw the same.
constexpr std::uint64_t PollSeed = 0x9e3779b97f4a7c15;

} // namespace

TrafficWorker::TrafficWorker(EngineSettings Chosen, const common::Clock &Time,
                             control::EvidenceSink &Evidence)
    : Ticker(Time), Name(Chosen.Service), Sink(Evidence), Port(Time),
      PollRandom(PollSeed ^ Chosen.RandomSeed), Polls({}, this->PollRandom),
      Engine(std::move(Chosen), this->Port, Time),
      Tasks([this] { this->Port.wake(); }), Thread([this] { this->run(); }) {}

TrafficWorker::~TrafficWorker() {
  this->beginStop(std::chrono::milliseconds::zero());
  this->join();
}

void TrafficWorker::post(Task Work) { this->Tasks.post(std::move(Work)); }

// A thread that is held up for long must not collect views.
void TrafficWorker::updateView(
    std::shared_ptr<const control::ControlView> View) {
  bool IsPosted = false;
  {
    const std::lock_guard Guard(this->ViewMutex);
    IsPosted = this->NextView != nullptr;
    this->NextView = std::move(View);
  }
  if (!IsPosted)
    this->post([this](ServiceEngine &) { this->takeView(); });
}

void TrafficWorker::takeView() {
  std::shared_ptr<const control::ControlView> View;
  {
    const std::lock_guard Guard(this->ViewMutex);
    View = std::exchange(this->NextView, nullptr);
  }
  this->applyLimits(*View);
  const auto Service = View->Services.find(this->Name);
  this->Polls.updateService(Service == View->Services.end() ? nullptr
                                                            : Service->second,
                            this->Ticker.monotonicNow());
  this->Engine.updateView(*View);
}

// libcurl has one limit for all hosts of a handle, so the smallest quota of the
// service rules. A quota of 0 is never used, as such searchers are not
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
    this->Port.setConnectionLimits(Smallest, Total);
}

void TrafficWorker::beginStop(std::chrono::milliseconds Grace) {
  this->post([this, Grace](ServiceEngine &) {
    const common::MonotonicTime Limit = this->Ticker.monotonicNow() + Grace;
    this->StopAt = this->IsStopping ? std::min(this->StopAt, Limit) : Limit;
    this->IsStopping = true;
  });
}

void TrafficWorker::join() {
  if (this->Thread.joinable())
    this->Thread.join();
}

void TrafficWorker::run() {
  this->Port.setHoldSink(this->Engine);
  while (true) {
    for (const Task &Work : this->Tasks.drain())
      Work(this->Engine);
    this->Engine.onAttemptsEnded(this->Port.perform());
    this->Engine.onTimers();
    this->poll();
    if (auto Evidence = this->Engine.takeEvidence(); !Evidence.empty())
      this->Sink.report(std::move(Evidence));
    if (this->isOver())
      break;
    this->Port.wait(this->untilNextEvent());
  }
  this->Engine.abortAll();
}

// After the attempts of this turn, which come first.
void TrafficWorker::poll() {
  std::vector<upstreams::PolledPage> Pages;
  for (const EndedPoll &Ended : this->Port.takeEndedPolls()) {
    if (const auto Next = this->Polls.onEnded(Ended, this->Port))
      this->Port.startPoll(*Next);
    if (Ended.Page)
      Pages.push_back(*Ended.Page);
  }
  if (!Pages.empty())
    this->Sink.reportPages(std::move(Pages));
  const common::MonotonicTime Now = this->Ticker.monotonicNow();
  for (const PagePoll &Due : this->Polls.takeDue(Now, this->Port))
    this->Port.startPoll(Due);
}

bool TrafficWorker::isOver() const {
  return this->IsStopping && (this->Engine.openCount() == 0 ||
                              this->Ticker.monotonicNow() >= this->StopAt);
}

std::chrono::milliseconds TrafficWorker::untilNextEvent() const {
  common::MonotonicTime Next = this->Ticker.monotonicNow() + LongestWait;
  if (const auto Timer = this->Engine.nextTimer())
    Next = std::min(Next, *Timer);
  if (const auto Due = this->Polls.nextDue())
    Next = std::min(Next, *Due);
  if (this->IsStopping)
    Next = std::min(Next, this->StopAt);
  // Rounded up: a wait that ends before the timer would be repeated at once.
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Next - this->Ticker.monotonicNow());
  return std::max(Left, std::chrono::milliseconds::zero());
}

} // namespace acaciacross::traffic
