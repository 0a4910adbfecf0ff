#ifndef ACACIACROSS_SYSTEMTESTS_QUERYANSWER_H
#define ACACIACROSS_SYSTEMTESTS_QUERYANSWER_H

#include "SystemTests/HttpReply.h"

#include <cstdint>
#include <set>
#include <string>

namespace acaciacross::systemtests {

/// The parsed answer to one query.
struct QueryAnswer {
  /// Empty without a complete reply.
  std::string Outcome;
  std::string Result;
  std::string RunState;
  std::string TicketOwner;
  double Coverage = 0.0;
  std::set<std::uint32_t> AnsweredShards;
  std::set<std::uint32_t> MissingShards;
  HttpReply Reply;

  static QueryAnswer from(const HttpReply &Reply);
};

} // namespace acaciacross::systemtests

#endif
