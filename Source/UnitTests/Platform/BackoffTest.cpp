#include "Platform/Backoff.h"

#include "Common/SeededRandom.h"

#include <gtest/gtest.h>

namespace acaciacross::platform {

using namespace std::chrono_literals;

class BackoffTest : public testing::Test {
protected:
  common::SeededRandom Random{20261204};
  Backoff CallBackoff{500ms, 8s};
};

// Readers whose calls failed together must not retry at the same time.
TEST_F(BackoffTest, WaitsDoubleUpToTheBoundWithJitter) {
  std::chrono::milliseconds Limit = 500ms;
  for (int Failure = 0; Failure < 100; ++Failure) {
    const auto Wait = this->CallBackoff.next(this->Random);
    EXPECT_GE(Wait, Limit / 2);
    EXPECT_LE(Wait, Limit);
    Limit = std::min<std::chrono::milliseconds>(Limit * 2, 8s);
  }
  this->CallBackoff.reset();
  EXPECT_TRUE(this->CallBackoff.isReset());
  EXPECT_LE(this->CallBackoff.next(this->Random), 500ms);
}

} // namespace acaciacross::platform
