#ifndef ACACIACROSS_FORWARDING_SEARCHERNOTICE_H
#define ACACIACROSS_FORWARDING_SEARCHERNOTICE_H

#include <chrono>
#include <optional>
#include <string>

namespace acaciacross::forwarding {

/// What a searcher says of itself in a response, besides the answer.
struct SearcherNotice {
  /// The searcher stops soon and must get no new work.
  bool IsLeaving = false;
  /// The searcher rejected the request and must get nothing from this VM for
  /// this long.
  std::optional<std::chrono::milliseconds> Pause;
  /// A requested pause that is no valid duration; empty when there is none.
  std::string InvalidPause;
  /// How long the searcher stays cold; empty when the response does not say it.
  std::optional<std::chrono::milliseconds> ColdLeft = std::nullopt;
  /// A time to stay cold that is not valid; empty when there is none.
  std::string InvalidColdLeft = {};
};

} // namespace acaciacross::forwarding

#endif
