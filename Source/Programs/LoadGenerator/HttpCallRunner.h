#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALLRUNNER_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALLRUNNER_H

#include "Programs/LoadGenerator/HttpCall.h"

#include <map>

namespace acaciacross::loadgenerator {

/// Runs HTTP calls concurrently on the calling thread.
class HttpCallRunner {
public:
  HttpCallRunner();
  ~HttpCallRunner();
  HttpCallRunner(const HttpCallRunner &) = delete;
  HttpCallRunner &operator=(const HttpCallRunner &) = delete;

  void start(HttpCall Call);
  /// Waits at most Timeout for network events and processes them.
  void run(std::chrono::milliseconds Timeout);
  std::size_t inFlightCount() const;

private:
  struct ActiveCall {
    HttpCall Call;
    std::string Url;
    std::string Reply;
  };

  static std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                            void *Reply);
  void finish(void *Easy, bool IsComplete);

  void *Multi;
  std::map<void *, std::unique_ptr<ActiveCall>> ActiveCalls;
};

} // namespace acaciacross::loadgenerator

#endif
