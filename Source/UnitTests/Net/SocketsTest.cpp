#include "Net/Sockets.h"

#include "TestSupport/FindFreeAddress.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace acaciacross::net {

class SocketsTest : public testing::Test {};

// With an empty address, all callers would count as one and not take turns.
TEST_F(SocketsTest, AcceptedSocketTellsTheAddressOfItsPeer) {
  const common::Address Local = testsupport::findFreeAddress();
  const Descriptor Listening = listenAt(Local);
  const Descriptor Peer = beginConnect(Local);
  pollfd Pending{Listening.get(), POLLIN, 0};
  ASSERT_EQ(::poll(&Pending, 1, 5'000), 1);
  sockaddr_in Chosen{};
  socklen_t Size = sizeof Chosen;
  ASSERT_EQ(
      ::getsockname(Peer.get(), reinterpret_cast<sockaddr *>(&Chosen), &Size),
      0);
  std::array<char, INET_ADDRSTRLEN> Text{};
  ::inet_ntop(AF_INET, &Chosen.sin_addr, Text.data(), Text.size());
  EXPECT_EQ(remoteHost(acceptFrom(Listening)), Text.data());
  EXPECT_EQ(remoteHost(Listening), "");
}

} // namespace acaciacross::net
