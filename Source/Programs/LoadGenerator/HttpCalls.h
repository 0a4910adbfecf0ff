#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALLS_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALLS_H

#include "Programs/LoadGenerator/HttpCall.h"

#include <map>

namespace acaciacross::loadgenerator {

/// Runs HTTP calls side by side on the calling thread.
class HttpCalls {
public:
  HttpCalls();
  ~HttpCalls();
  HttpCalls(const HttpCalls &) = delete;
  HttpCalls &operator=(const HttpCalls &) = delete;

  void start(HttpCall Call);
  /// Waits at most Timeout for something to do, and does it.
  void run(std::chrono::milliseconds Timeout);
  std::size_t inFlight() const;

private:
  struct Running {
    HttpCall Call;
    std::string Url;
    std::string Reply;
  };

  static std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                            void *Reply);
  void finish(void *Easy, bool Whole);

  void *Multi;
  std::map<void *, std::unique_ptr<Running>> Calls;
};

} // namespace acaciacross::loadgenerator

#endif
