#ifndef ACACIACROSS_TRAFFIC_BOUNDEDREPLY_H
#define ACACIACROSS_TRAFFIC_BOUNDEDREPLY_H

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace acaciacross::traffic {

/// Takes the response of one libcurl transfer up to a size; a larger one ends
/// the transfer with an error.
class BoundedReply {
public:
  BoundedReply(std::size_t MostBodyBytes, std::size_t MostHeaderBytes);
  BoundedReply(const BoundedReply &) = delete;
  BoundedReply &operator=(const BoundedReply &) = delete;

  /// Has the transfer write into this, which must outlive it.
  void attach(CURL *Transfer);

  const std::string &body() const;
  /// Whether a header says that the sender is leaving.
  bool isDraining() const;

private:
  static std::size_t writeBody(char *Bytes, std::size_t Size, std::size_t Count,
                               void *Self);
  static std::size_t readHeader(char *Bytes, std::size_t Size,
                                std::size_t Count, void *Self);

  std::size_t MaxBodyBytes;
  std::size_t MaxHeaderBytes;
  std::size_t HeaderBytes = 0;
  std::string Body;
  bool Draining = false;
};

} // namespace acaciacross::traffic

#endif
