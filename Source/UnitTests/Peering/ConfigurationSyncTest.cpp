#include "Peering/ConfigurationSync.h"

#include "Common/SystemClock.h"
#include "Configuration/EntrySettingsParser.h"
#include "Peering/TransferServer.h"
#include "TestSupport/FindFreeAddress.h"
#include "UnitTests/Configuration/SampleDocuments.h"

#include <gtest/gtest.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>

namespace acaciacross::peering {

using std::chrono::milliseconds;

/// A VM with two peers that report a newer revision: one accepts connections
/// and never answers, the other answers.
class ConfigurationSyncTest : public testing::Test,
                              private ConfigurationSource {
protected:
  ConfigurationSyncTest() {
    this->Status.ConfigurationDigest = 1;
    this->Status.PositionInEffect = 5;
    const ACE_INET_Addr Bound(this->SilentAddress.Port,
                              this->SilentAddress.Host.c_str());
    this->Silent.open(Bound);
  }

  ConfigurationChangesMessage
  changesFor(const ConfigurationPullMessage &) override {
    ConfigurationChangesMessage Reply;
    Reply.Changes = {
        {"classes", common::Revision(5), configuration::SampleClasses}};
    return Reply;
  }

  /// The answering peer reports its revision until this VM has it.
  milliseconds timeUntilPulled() {
    const auto Start = this->Time.monotonicNow();
    while (this->State.configuration().highestRevision().Value < 5 &&
           this->Time.monotonicNow() < Start + milliseconds(10'000)) {
      this->Sync.onStatus(this->PeerAddress, this->Status);
      ACE_Time_Value Wait(0, 10'000);
      this->Events.handle_events(Wait);
    }
    return std::chrono::duration_cast<milliseconds>(this->Time.monotonicNow() -
                                                    Start);
  }

  common::SystemClock Time;
  ACE_Reactor Events{new ACE_Dev_Poll_Reactor(), true};
  control::ControlState State{configuration::EntrySettingsParser::parse(
                                  configuration::SampleSettings, "entry.toml"),
                              Time};
  membership::MemberStatus Status;
  common::Address SilentAddress = testsupport::findFreeAddress();
  ACE_SOCK_Acceptor Silent;
  common::Address PeerAddress = testsupport::findFreeAddress();
  TransferServer Peer{this->PeerAddress, this->Events, *this, this->Time};
  ConfigurationSync Sync{this->State, this->Events, this->Time};
};

// A pull from a peer that stopped answering kept the VM from asking the others
// for 3 s.
TEST_F(ConfigurationSyncTest, SilentPeerDoesNotKeepChangesOfOthersBack) {
  this->Sync.onStatus(this->SilentAddress, this->Status);
  EXPECT_LT(this->timeUntilPulled(), milliseconds(2'000));
}

} // namespace acaciacross::peering
