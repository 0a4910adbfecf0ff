#ifndef ACACIACROSS_SYSTEMTESTS_QUERYANSWER_H
#define ACACIACROSS_SYSTEMTESTS_QUERYANSWER_H

#include "SystemTests/HttpReply.h"

#include <cstdint>
#include <set>
#include <string>

namespace acaciacross::systemtests {

/// What a caller got for one query.
struct QueryAnswer {
  /// "" when no whole reply came.
  std::string Outcome;
  std::string Result;
  std::string Run;
  std::string TicketOwner;
  double Coverage = 0.0;
  std::set<std::uint32_t> Answered;
  std::set<std::uint32_t> Missing;
  HttpReply Reply;

  static QueryAnswer from(const HttpReply &Reply);
};

} // namespace acaciacross::systemtests

#endif
