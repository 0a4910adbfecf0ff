#include "Common/SystemClock.h"
#include "Peering/MessageLimits.h"
#include "Peering/ProbeSocket.h"
#include "Peering/TransferClient.h"
#include "Peering/TransferServer.h"
#include "UnitTests/Peering/MessageSamples.h"

#include <gtest/gtest.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <functional>

namespace acaciacross::peering {

/// Two probe sockets, a transfer server and a transfer client on loopback, all
/// on one reactor.
class PeerSocketTest : public testing::Test,
                       public DatagramListener,
                       public ConfigurationSource,
                       public PullListener {
protected:
  void onProbe(const common::Address &From,
               const ProbeMessage &Message) override {
    this->Second.sendAck(From, Message.Sequence, sampleHeartbeat(1, 1));
  }
  void onAck(const common::Address &, const ProbeAckMessage &Message) override {
    this->Acks.push_back(Message);
  }
  ConfigurationChangesMessage
  changesFor(const ConfigurationPullMessage &Pull) override {
    this->Pulls.push_back(Pull);
    ConfigurationChangesMessage Reply;
    Reply.Changes = {
        {"classes", common::Revision(4), std::string(900'000, 'c')}};
    return Reply;
  }
  void onChanges(const common::Address &,
                 const ConfigurationChangesMessage &Message) override {
    this->Received.push_back(Message);
  }
  void onPullFailed(const common::Address &) override { ++this->Failures; }

  /// Runs the reactor until the condition holds; false after ten seconds.
  bool runUntil(const std::function<bool()> &Condition) {
    const auto End = this->Time.monotonicNow() + std::chrono::seconds(10);
    while (!Condition() && this->Time.monotonicNow() < End) {
      ACE_Time_Value Wait(0, 10'000);
      this->Reactor.handle_events(Wait);
    }
    return Condition();
  }

  common::Address serverAddress() const { return this->Server.local(); }

  common::SystemClock Time;
  ACE_Reactor Reactor{new ACE_Dev_Poll_Reactor(), true};
  std::vector<ProbeAckMessage> Acks;
  std::vector<ConfigurationPullMessage> Pulls;
  std::vector<ConfigurationChangesMessage> Received;
  int Failures = 0;
  ProbeSocket First{{"127.0.0.1", 0}, this->Reactor, *this, this->Time};
  ProbeSocket Second{{"127.0.0.1", 0}, this->Reactor, *this, this->Time};
  TransferServer Server{{"127.0.0.1", 0}, this->Reactor, *this, this->Time};
  TransferClient Client{this->Reactor, *this, this->Time};
};

// All standby VMs of a failure domain pull a change from two VMs at the same
// time. A connection request beyond the backlog is lost and repeated after one
// and three seconds, which is later than changes must be in effect.
TEST_F(PeerSocketTest, ManyPeersConnectAtOnceWithoutDelay) {
  constexpr std::size_t PeerCount = 100;
  std::vector<ACE_SOCK_Stream> Streams(PeerCount);
  const ACE_INET_Addr Remote(this->serverAddress().Port,
                             this->serverAddress().Host.c_str());
  ACE_SOCK_Connector Connector;
  std::size_t ConnectedCount = 0;
  for (ACE_SOCK_Stream &Stream : Streams) {
    const ACE_Time_Value Timeout(0, 200'000);
    ConnectedCount += Connector.connect(Stream, Remote, &Timeout) == 0 ? 1 : 0;
  }
  EXPECT_EQ(ConnectedCount, PeerCount);
  for (ACE_SOCK_Stream &Stream : Streams)
    Stream.close();
}

// An acknowledgement with a wrong sequence number matches no probe.
TEST_F(PeerSocketTest, ProbeIsAcknowledgedWithItsSequenceNumber) {
  this->First.sendProbe(this->Second.local(), 41, sampleHeartbeat(1, 1));
  ASSERT_TRUE(this->runUntil([this] { return !this->Acks.empty(); }));
  EXPECT_EQ(this->Acks[0].Sequence, 41U);
}

// An invalid datagram must not reach the listener or stop the socket.
TEST_F(PeerSocketTest, MalformedAndOversizeDatagramsAreCountedAndDropped) {
  ACE_SOCK_Dgram Sender(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
  const ACE_INET_Addr To(this->First.local().Port, "127.0.0.1");
  const std::string Oversize(MaxDatagramBytes + 1, '\1');
  Sender.send("xyz", 3, To);
  Sender.send(Oversize.data(), Oversize.size(), To);
  Sender.send("", 0, To);
  EXPECT_TRUE(this->runUntil([this] { return this->First.dropped() == 3; }));
  Sender.close();
}

// A reply that is sent in several parts must arrive complete, and the peer must
// be free for the next pull afterwards.
TEST_F(PeerSocketTest, PullDeliversDocumentLargerThanTheSocketBuffer) {
  ConfigurationPullMessage Pull;
  Pull.KnownRevisions["classes"] = common::Revision(3);
  ASSERT_TRUE(this->Client.pull(this->serverAddress(), Pull));
  EXPECT_FALSE(this->Client.pull(this->serverAddress(), Pull));
  ASSERT_TRUE(this->runUntil([this] { return !this->Received.empty(); }));
  EXPECT_EQ(this->Pulls[0], Pull);
  EXPECT_EQ(this->Received[0].Changes[0].Text.size(), 900'000U);
  EXPECT_EQ(this->Failures, 0);
  EXPECT_TRUE(this->Client.pull(this->serverAddress(), Pull));
}

// A pull from a VM that is down must fail at once, so that other peers are
// asked.
TEST_F(PeerSocketTest, PullFromClosedPortFailsWithoutWaiting) {
  const common::Address Closed = this->Second.local();
  const bool Started = this->Client.pull(Closed, {});
  EXPECT_TRUE(!Started ||
              this->runUntil([this] { return this->Failures == 1; }));
}

// A peer that connects and sends nothing must not hold its connection forever,
// and one that announces a huge frame must not exhaust the memory.
TEST_F(PeerSocketTest, SilentAndOversizeConnectionsAreClosed) {
  const ACE_INET_Addr To(this->serverAddress().Port, "127.0.0.1");
  for (const bool IsSilent : {true, false}) {
    ACE_SOCK_Stream Connection;
    ASSERT_EQ(ACE_SOCK_Connector().connect(Connection, To), 0);
    if (!IsSilent)
      Connection.send("\x7F\xFF\xFF\xFF", 4);
    Connection.enable(ACE_NONBLOCK);
    const auto Start = this->Time.monotonicNow();
    EXPECT_TRUE(this->runUntil([&Connection] {
      char Byte = 0;
      return Connection.recv(&Byte, 1) == 0;
    }));
    const auto Elapsed = this->Time.monotonicNow() - Start;
    EXPECT_EQ(Elapsed >= TransferLimit, IsSilent);
    Connection.close();
  }
  EXPECT_TRUE(this->Pulls.empty());
}

} // namespace acaciacross::peering
