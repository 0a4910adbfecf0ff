#include "Control/ControlThread.h"

#include "Common/SystemClock.h"
#include "Configuration/EntrySettingsParser.h"
#include "UnitTests/Configuration/SampleDocuments.h"

#include <condition_variable>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

namespace acaciacross::control {

using namespace std::chrono_literals;

class ControlThreadTest : public testing::Test, public ViewListener {
protected:
  ControlThreadTest() { this->Control.addListener(*this); }
  ~ControlThreadTest() override { this->Control.stop(); }

  void onView(std::shared_ptr<const ControlView> View) override {
    const std::lock_guard Guard(this->Mutex);
    this->Views.push_back(std::move(View));
    this->Arrived.notify_all();
  }

  /// Waits up to 10 s for the latest view to satisfy Condition. Returns whether
  /// it did.
  bool waitForView(const std::function<bool(const ControlView &)> &Condition) {
    std::unique_lock Lock(this->Mutex);
    return this->Arrived.wait_for(Lock, 10s, [&] {
      return !this->Views.empty() && Condition(*this->Views.back());
    });
  }

  common::SystemClock Time;
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::vector<std::shared_ptr<const ControlView>> Views;
  ControlThread Control{std::make_unique<ControlState>(
                            configuration::EntrySettingsParser::parse(
                                configuration::SampleSettings, "entry.toml"),
                            Time),
                        Time};
};

// Guards against losing tasks that are posted before the thread starts.
TEST_F(ControlThreadTest, TaskPostedBeforeStartRunsAndItsChangeIsPublished) {
  this->Control.post([](ControlState &State) { State.startLeaving(); });
  this->Control.start();
  EXPECT_TRUE(this->waitForView([](const ControlView &View) {
    return View.State == membership::ServingState::Leaving;
  }));
}

// Readers of views regard a view that has not been renewed as a pause of this
// VM. Guards against views that are renewed only on changes.
TEST_F(ControlThreadTest, ViewIsRenewedWithoutAnyChange) {
  this->Control.start();
  ASSERT_TRUE(this->waitForView([](const ControlView &) { return true; }));
  const auto First = this->Time.monotonicNow();
  EXPECT_TRUE(this->waitForView(
      [First](const ControlView &View) { return View.PublishedAt > First; }));
}

// A signal interrupts the wait for events, as SIGCONT does after a pause.
// Guards against the end of the thread, after which the VM would use its last
// view forever.
TEST_F(ControlThreadTest, WaitInterruptedBySignalContinues) {
  struct sigaction IgnoreAction {};
  struct sigaction OldAction {};
  IgnoreAction.sa_handler = [](int) {};
  ASSERT_EQ(::sigaction(SIGUSR1, &IgnoreAction, &OldAction), 0);
  this->Control.start();
  std::promise<pthread_t> ThreadPromise;
  this->Control.post(
      [&](ControlState &) { ThreadPromise.set_value(::pthread_self()); });
  const pthread_t Thread = ThreadPromise.get_future().get();
  // The thread waits most of the time, so some of the signals interrupt a wait.
  constexpr int SignalCount = 20;
  for (int I = 0; I < SignalCount; ++I) {
    ASSERT_EQ(::pthread_kill(Thread, SIGUSR1), 0);
    std::this_thread::sleep_for(5ms);
  }
  const auto Done = std::make_shared<std::promise<void>>();
  this->Control.post([Done](ControlState &) { Done->set_value(); });
  EXPECT_EQ(Done->get_future().wait_for(10s), std::future_status::ready);
  ::sigaction(SIGUSR1, &OldAction, nullptr);
}

// The notification pipe holds a few thousand entries. Guards against a task
// that posts more and then waits for its own thread.
TEST_F(ControlThreadTest, TaskThatPostsManyTasksDoesNotBlock) {
  std::promise<void> Done;
  std::atomic<int> Count = 0;
  this->Control.post([&](ControlState &) {
    for (int I = 0; I < 100'000; ++I)
      this->Control.post([&](ControlState &) {
        if (++Count == 100'000)
          Done.set_value();
      });
  });
  this->Control.start();
  EXPECT_EQ(Done.get_future().wait_for(60s), std::future_status::ready);
}

// Guards against one faulty message stopping the control of this VM.
TEST_F(ControlThreadTest, TaskThatThrowsLeavesTheThreadRunning) {
  this->Control.start();
  this->Control.post(
      [](ControlState &) { throw std::runtime_error("fault of a task"); });
  this->Control.post([](ControlState &State) { State.startLeaving(); });
  EXPECT_TRUE(this->waitForView([](const ControlView &View) {
    return View.State == membership::ServingState::Leaving;
  }));
}

// Guards against a stop that blocks when the loop has hardly started, and
// against tasks that run after it.
TEST_F(ControlThreadTest, StopRightAfterStartReturns) {
  this->Control.start();
  this->Control.stop();
  this->Control.post([](ControlState &) { FAIL() << "ran after stop"; });
}

} // namespace acaciacross::control
