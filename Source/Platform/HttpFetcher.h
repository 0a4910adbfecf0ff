#ifndef ACACIACROSS_PLATFORM_HTTPFETCHER_H
#define ACACIACROSS_PLATFORM_HTTPFETCHER_H

#include "Common/Address.h"
#include "Platform/HttpReply.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace acaciacross::platform {

/// HTTP GET requests of one thread, one at a time. Waiting can be interrupted
/// by another thread.
class HttpFetcher {
public:
  /// Longer bodies are refused.
  static constexpr std::size_t MaxBodyBytes = std::size_t{32} << 20;

  HttpFetcher();
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher &) = delete;
  HttpFetcher &operator=(const HttpFetcher &) = delete;

  /// IsCancelled is asked at the start and after each wake.
  HttpReply get(const common::Address &Server, const std::string &Path,
                std::chrono::milliseconds Timeout,
                const std::function<bool()> &IsCancelled);

  /// Sleeps until the time has passed or wake is called.
  void wait(std::chrono::milliseconds Time);

  /// Thread-safe. Ends the present or the next wait.
  void wake();

private:
  class Handles;

  std::unique_ptr<Handles> Curl;
};

} // namespace acaciacross::platform

#endif
