#ifndef ACACIACROSS_HTTP_PARSEPROBLEM_H
#define ACACIACROSS_HTTP_PARSEPROBLEM_H

#include <cstdint>

namespace acaciacross::http {

/// Why a received message cannot be used.
enum class ParseProblem : std::uint8_t {
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

} // namespace acaciacross::http

#endif
