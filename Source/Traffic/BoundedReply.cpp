#include "Traffic/BoundedReply.h"

#include "Traffic/DrainHeader.h"

namespace acaciacross::traffic {

BoundedReply::BoundedReply(std::size_t BodyLimit, std::size_t HeaderLimit)
    : MaxBodyBytes(BodyLimit), MaxHeaderBytes(HeaderLimit) {}

void BoundedReply::attach(CURL *Transfer) {
  ::curl_easy_setopt(Transfer, CURLOPT_WRITEFUNCTION, &BoundedReply::writeBody);
  ::curl_easy_setopt(Transfer, CURLOPT_WRITEDATA, this);
  ::curl_easy_setopt(Transfer, CURLOPT_HEADERFUNCTION,
                     &BoundedReply::readHeader);
  ::curl_easy_setopt(Transfer, CURLOPT_HEADERDATA, this);
}

const std::string &BoundedReply::body() const { return this->Body; }

bool BoundedReply::isDraining() const { return this->HasDrainHeader; }

std::size_t BoundedReply::writeBody(char *Bytes, std::size_t Size,
                                    std::size_t Count, void *Self) {
  auto &Reply = *static_cast<BoundedReply *>(Self);
  const std::size_t Length = Size * Count;
  if (Reply.Body.size() + Length > Reply.MaxBodyBytes)
    return 0;
  Reply.Body.append(Bytes, Length);
  return Length;
}

std::size_t BoundedReply::readHeader(char *Bytes, std::size_t Size,
                                     std::size_t Count, void *Self) {
  auto &Reply = *static_cast<BoundedReply *>(Self);
  const std::size_t Length = Size * Count;
  Reply.HeaderBytes += Length;
  if (Reply.HeaderBytes > Reply.MaxHeaderBytes)
    return 0;
  if (isDrainHeader({Bytes, Length}))
    Reply.HasDrainHeader = true;
  return Length;
}

} // namespace acaciacross::traffic
