#include "Gateway/UpstreamConnection.h"

#include "Common/SystemClock.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <thread>

namespace acaciacross::gateway {

using std::chrono::milliseconds;

/// A connection to a searcher that answers before it has read the request.
class UpstreamConnectionTest : public testing::Test, public UpstreamListener {
protected:
  // More than the socket buffers of both sides hold.
  static constexpr std::size_t RequestBytes = std::size_t{32} << 20;

  void SetUp() override {
    this->Listening = ::socket(AF_INET, SOCK_STREAM, 0);
    const int Small = 4'096;
    ::setsockopt(this->Listening, SOL_SOCKET, SO_RCVBUF, &Small, sizeof Small);
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof Local;
    ASSERT_EQ(::bind(this->Listening, reinterpret_cast<sockaddr *>(&Local),
                     sizeof Local),
              0);
    ASSERT_EQ(::listen(this->Listening, 1), 0);
    ::getsockname(this->Listening, reinterpret_cast<sockaddr *>(&Local),
                  &Length);
    this->Connection = std::make_shared<UpstreamConnection>(this->Loop, *this);
    this->Connection->open({"127.0.0.1", ntohs(Local.sin_port)});
  }

  void TearDown() override {
    this->Connection->close();
    ::close(this->Listening);
  }

  /// Lets the searcher answer with Bytes. Resets: it closes the connection
  /// while it has unread bytes, instead of ending only its own side.
  void run(const std::string &Bytes, bool Resets) {
    std::thread Searcher([&] {
      const int Accepted = ::accept(this->Listening, nullptr, nullptr);
      // The request fills the socket buffers meanwhile.
      std::this_thread::sleep_for(milliseconds(100));
      ::send(Accepted, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (!Resets) {
        ::shutdown(Accepted, SHUT_WR);
        std::this_thread::sleep_for(milliseconds(300));
      }
      ::close(Accepted);
    });
    this->Loop.schedule(this->Loop.now() + milliseconds(3'000),
                        [this] { this->Loop.stop(); });
    this->Loop.run();
    Searcher.join();
  }

  void onConnected(UpstreamConnection &Connected) override {
    Connected.send(std::string(RequestBytes, 'x'), true);
  }

  bool onResponse(UpstreamConnection &, http::Response Received,
                  bool) override {
    this->Response = std::move(Received);
    this->Loop.stop();
    return true;
  }

  void onBuffered(UpstreamConnection &, std::size_t) override {}

  void onUpstreamClosed(UpstreamConnection &, bool WasSent) override {
    this->ClosedAfterSend = WasSent;
    this->Loop.stop();
  }

  common::SystemClock Time;
  net::EventLoop Loop{this->Time};
  int Listening = -1;
  std::shared_ptr<UpstreamConnection> Connection;
  std::optional<http::Response> Response;
  std::optional<bool> ClosedAfterSend;
};

// The failed send of the rest of the request took the error from the socket, so
// that a truncated answer without a length looked complete.
TEST_F(UpstreamConnectionTest, ResponseWithoutLengthThatIsResetIsLost) {
  this->run("HTTP/1.1 200 OK\r\n\r\ntruncated", true);
  EXPECT_FALSE(this->Response) << this->Response->Body;
  EXPECT_EQ(this->ClosedAfterSend, true);
}

// A searcher may answer before it has read a long body.
TEST_F(UpstreamConnectionTest, ResponseWithoutLengthThatEndsOrderlyIsComplete) {
  this->run("HTTP/1.1 200 OK\r\n\r\nwhole", false);
  ASSERT_TRUE(this->Response);
  EXPECT_EQ(this->Response->Body, "whole");
}

TEST_F(UpstreamConnectionTest, ResponseWithLengthBeforeAResetIsComplete) {
  this->run("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true);
  ASSERT_TRUE(this->Response);
  EXPECT_EQ(this->Response->Body, "whole");
}

} // namespace acaciacross::gateway
