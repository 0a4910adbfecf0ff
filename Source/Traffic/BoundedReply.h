#ifndef ACACIACROSS_TRAFFIC_BOUNDEDREPLY_H
#define ACACIACROSS_TRAFFIC_BOUNDEDREPLY_H

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace acaciacross::traffic {

/// Receives the response of one libcurl transfer up to a maximum size; a larger
/// response ends the transfer with an error.
class BoundedReply {
public:
  BoundedReply(std::size_t BodyLimit, std::size_t HeaderLimit);
  BoundedReply(const BoundedReply &) = delete;
  BoundedReply &operator=(const BoundedReply &) = delete;

  /// Makes the transfer write into this object, which must outlive it.
  void attach(CURL *Transfer);

  const std::string &body() const;
  /// Whether a header of the response reports that the sender is draining.
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
  bool HasDrainHeader = false;
};

} // namespace acaciacross::traffic

#endif
