#ifndef ACACIACROSS_STANDINS_HTTP_HTTPRESPONSE_H
#define ACACIACROSS_STANDINS_HTTP_HTTPRESPONSE_H

#include <map>
#include <string>

namespace acaciacross::standins {

/// A reply, or how the connection ends when there is no reply.
struct HttpResponse {
  enum class DeliveryMode { Reply, CloseWithoutReply, ResetWithoutReply };

  unsigned Status = 200;
  std::string Body = {};
  std::map<std::string, std::string> Headers = {};
  DeliveryMode Delivery = DeliveryMode::Reply;
};

} // namespace acaciacross::standins

#endif
