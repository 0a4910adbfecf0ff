#ifndef ACACIACROSS_STANDINS_SEARCHER_HEALTHPAGE_H
#define ACACIACROSS_STANDINS_SEARCHER_HEALTHPAGE_H

#include <string>
#include <vector>

namespace acaciacross::standins {

/// Contents of a reply to GET /health.
struct HealthPage {
  /// "serving" or "leaving".
  std::string Status;
  std::vector<std::string> Snapshots;
  bool IsCold = false;
};

} // namespace acaciacross::standins

#endif
