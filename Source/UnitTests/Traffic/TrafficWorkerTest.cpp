#include "Traffic/TrafficWorker.h"

#include "Common/SystemClock.h"
#include "DiscardingEvidenceSink.h"
#include "ViewBuilder.h"

#include <gtest/gtest.h>

#include <future>

namespace acaciacross::traffic {

class TrafficWorkerTest : public testing::Test {
protected:
  static EngineSettings makeSettings() {
    EngineSettings Settings;
    Settings.Service = common::ServiceName("lots");
    return Settings;
  }

  common::SystemClock Time;
  DiscardingEvidenceSink Evidence;
  TrafficWorker Worker{makeSettings(), this->Time, this->Evidence};
};

// Two views a second with the state of all services would fill the memory while
// a thread is blocked.
TEST_F(TrafficWorkerTest, BlockedThreadKeepsOnlyTheNewestView) {
  std::promise<void> Release;
  this->Worker.post([&](ServiceEngine &) { Release.get_future().wait(); });
  std::vector<std::weak_ptr<const control::ControlView>> Views;
  for (int I = 0; I < 100; ++I) {
    const auto View = makeView({"127.0.0.1", 1});
    Views.push_back(View);
    this->Worker.updateView(View);
  }
  std::size_t Kept = 0;
  for (const auto &View : Views)
    Kept += View.expired() ? 0 : 1;
  EXPECT_EQ(Kept, 1U);
  EXPECT_FALSE(Views.back().expired());
  std::promise<std::size_t> Classes;
  this->Worker.post([&](ServiceEngine &Engine) {
    Classes.set_value(Engine.reports().size());
  });
  Release.set_value();
  EXPECT_EQ(Classes.get_future().get(), 2U);
}

} // namespace acaciacross::traffic
