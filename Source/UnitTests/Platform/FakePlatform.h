#ifndef ACACIACROSS_UNITTESTS_PLATFORM_FAKEPLATFORM_H
#define ACACIACROSS_UNITTESTS_PLATFORM_FAKEPLATFORM_H

#include "Common/Address.h"

#include <condition_variable>
#include <deque>
#include <microhttpd.h>
#include <mutex>
#include <string>
#include <utility>

namespace acaciacross::platform {

/// HTTP server on a free loopback port that gives scripted replies, one for
/// each request. Requests beyond the script get no reply until the server
/// stops.
class FakePlatform {
public:
  FakePlatform()
      : Daemon(MHD_start_daemon(
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
            nullptr, nullptr, &FakePlatform::handleRequest, this,
            MHD_OPTION_END)) {}

  ~FakePlatform() {
    {
      const std::lock_guard Guard(this->Mutex);
      this->IsClosing = true;
    }
    this->Changed.notify_all();
    MHD_stop_daemon(this->Daemon);
  }

  common::Address address() const {
    return {"127.0.0.1",
            MHD_get_daemon_info(this->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port};
  }

  /// Adds a reply to the end of the script.
  void addReply(unsigned Status, std::string Body) {
    const std::lock_guard Guard(this->Mutex);
    this->Script.emplace_back(Status, std::move(Body));
    this->Changed.notify_all();
  }

  /// Waits until Count requests have arrived and returns the "since" parameter
  /// of the last one.
  std::string waitForRequests(std::size_t Count) {
    std::unique_lock Lock(this->Mutex);
    this->Changed.wait(Lock, [&] { return this->Requests >= Count; });
    return this->LastSince;
  }

private:
  static MHD_Result handleRequest(void *Owner, MHD_Connection *Connection,
                                  const char * /*Url*/, const char * /*Method*/,
                                  const char * /*Version*/,
                                  const char * /*Upload*/,
                                  std::size_t * /*Size*/, void ** /*State*/) {
    const char *Since =
        MHD_lookup_connection_value(Connection, MHD_GET_ARGUMENT_KIND, "since");
    auto [Status, Body] =
        static_cast<FakePlatform *>(Owner)->takeReply(Since ? Since : "");
    MHD_Response *Response = MHD_create_response_from_buffer(
        Body.size(), Body.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result Result = MHD_queue_response(Connection, Status, Response);
    MHD_destroy_response(Response);
    return Result;
  }

  std::pair<unsigned, std::string> takeReply(std::string Since) {
    std::unique_lock Lock(this->Mutex);
    ++this->Requests;
    this->LastSince = std::move(Since);
    this->Changed.notify_all();
    this->Changed.wait(
        Lock, [&] { return this->IsClosing || !this->Script.empty(); });
    if (this->Script.empty())
      return {503, ""};
    auto Reply = std::move(this->Script.front());
    this->Script.pop_front();
    return Reply;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::pair<unsigned, std::string>> Script;
  std::size_t Requests = 0;
  std::string LastSince;
  bool IsClosing = false;
  MHD_Daemon *Daemon;
};

} // namespace acaciacross::platform

#endif
