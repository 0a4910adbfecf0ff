#include "Platform/Backoff.h"

#include "Common/SeededRandom.h"

#include <gtest/gtest.h>

namespace acaciacross::platform {

using namespace std::chrono_literals;

class BackoffTest : public testing::Test {
protected:
  common::SeededRandom Random{20261204};
  Backoff Waiting{500ms, 8s};
};

// Readers that the service refused together must spread their next calls.
TEST_F(BackoffTest, WaitsDoubleUpToTheBoundWithJitter) {
  std::chrono::milliseconds Full = 500ms;
  for (int Failure = 0; Failure < 100; ++Failure) {
    const auto Wait = this->Waiting.next(this->Random);
    EXPECT_GE(Wait, Full / 2);
    EXPECT_LE(Wait, Full);
    Full = std::min<std::chrono::milliseconds>(Full * 2, 8s);
  }
  this->Waiting.reset();
  EXPECT_TRUE(this->Waiting.isFirst());
  EXPECT_LE(this->Waiting.next(this->Random), 500ms);
}

} // namespace acaciacross::platform
