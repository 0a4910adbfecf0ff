#include "Peering/DatagramCodec.h"
#include "UnitTests/Membership/ObserverHarness.h"
#include "UnitTests/Peering/MessageSamples.h"

#include <gtest/gtest.h>

namespace acaciacross::peering {

/// Limits the bytes of probes and acknowledgements of one VM in both
/// directions.
class ControlBudgetTest : public testing::Test {
protected:
  static constexpr std::size_t BudgetBytesPerSecond = 14'000;
  static constexpr std::size_t IpAndUdpHeaderBytes = 28;

  /// On average every peer probes this VM as often as this VM probes it.
  static std::size_t bytesPerSecond(int Peers) {
    membership::ObserverHarness Observer;
    for (int Number = 0; Number < Peers; ++Number) {
      membership::MemberStatus Status;
      Status.Vm = common::VmId("entry-" + std::to_string(Number));
      Status.State = membership::ServingState::Serving;
      Observer.setRemote({"10.0." + std::to_string(Number / 250) + ".2",
                          static_cast<std::uint16_t>(1 + Number % 250)},
                         Status);
    }
    constexpr std::size_t Seconds = 10;
    Observer.runFor(std::chrono::seconds(Seconds));
    const membership::Heartbeat Content = sampleHeartbeat(0, 0);
    const std::size_t PairBytes =
        encodeDatagram(ProbeMessage{1, Content}).size() +
        encodeDatagram(ProbeAckMessage{1, Content}).size() +
        2 * IpAndUdpHeaderBytes;
    return 2 * PairBytes * Observer.ProbesSent / Seconds;
  }
};

// A longer message or more frequent probes would exceed the traffic budget.
TEST_F(ControlBudgetTest, FleetOfNineStaysWithinTheBudget) {
  const std::size_t Bytes = bytesPerSecond(8);
  this->RecordProperty("bytes_per_second", std::to_string(Bytes));
  this->RecordProperty("bytes_per_peer",
                       std::to_string(Bytes - bytesPerSecond(7)));
  EXPECT_LE(Bytes, BudgetBytesPerSecond);
}

// The traffic per VM must not grow with the fleet. A large fleet needs half of
// the budget for documents.
TEST_F(ControlBudgetTest, LargerFleetsStayWithinTheBudget) {
  EXPECT_LE(bytesPerSecond(16), BudgetBytesPerSecond);
  EXPECT_LE(bytesPerSecond(2000), BudgetBytesPerSecond / 2);
}

} // namespace acaciacross::peering
