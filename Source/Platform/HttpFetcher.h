#ifndef ACACIACROSS_PLATFORM_HTTPFETCHER_H
#define ACACIACROSS_PLATFORM_HTTPFETCHER_H

#include "Common/Address.h"
#include "Platform/HttpReply.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace acaciacross::platform {

/// Makes HTTP GET requests on one thread, one at a time. Another thread can
/// interrupt a wait.
class HttpFetcher {
public:
  /// A reply with a longer body is reported as an error.
  static constexpr std::size_t MaxBodyBytes = std::size_t{32} << 20;

  HttpFetcher();
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher &) = delete;
  HttpFetcher &operator=(const HttpFetcher &) = delete;

  /// IsCancelled is called at the start and after each wake; the request ends
  /// when it returns true.
  HttpReply get(const common::Address &Server, const std::string &Path,
                std::chrono::milliseconds Timeout,
                const std::function<bool()> &IsCancelled);

  /// Blocks until the time has passed or wake is called.
  void wait(std::chrono::milliseconds Time);

  /// Thread-safe. Interrupts the current wait, or the next one when there is
  /// none.
  void wake();

private:
  class Handles;

  std::unique_ptr<Handles> Curl;
};

} // namespace acaciacross::platform

#endif
