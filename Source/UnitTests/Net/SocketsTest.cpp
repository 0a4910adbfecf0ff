#include "Net/Sockets.h"

#include "TestSupport/FindFreeAddress.h"

#include <gtest/gtest.h>

#include <poll.h>

namespace acaciacross::net {

class SocketsTest : public testing::Test {};

// With an empty address, all callers would count as one and not take turns.
TEST_F(SocketsTest, AcceptedSocketTellsTheAddressOfItsPeer) {
  const common::Address Local = testsupport::findFreeAddress();
  const Descriptor Listening = listenAt(Local);
  const Descriptor Peer = beginConnect(Local);
  pollfd Pending{Listening.get(), POLLIN, 0};
  ASSERT_EQ(::poll(&Pending, 1, 5'000), 1);
  EXPECT_EQ(remoteHost(acceptFrom(Listening)), Local.Host);
  EXPECT_EQ(remoteHost(Listening), "");
}

} // namespace acaciacross::net
