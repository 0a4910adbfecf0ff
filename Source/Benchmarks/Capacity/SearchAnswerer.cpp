#include "Benchmarks/Capacity/SearchAnswerer.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::size_t ReplyBytes = 256;

} // namespace

standins::HttpResponse
SearchAnswerer::handle(const standins::HttpRequest &Request) {
  return {200,
          R"({"attempt_id":")" + Request.Headers.at("x-attempt-id") +
              R"(","snapshot":"2026-12-04T06","shard":3,"range_begin":0,)" +
              R"("range_end":9,"body":")" + std::string(ReplyBytes, 'r') +
              "\"}"};
}

} // namespace acaciacross::benchmarks
