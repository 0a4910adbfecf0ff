#ifndef ACACIACROSS_NODE_COLDSEARCHERLOG_H
#define ACACIACROSS_NODE_COLDSEARCHERLOG_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Forwarding/ServiceRegistry.h"
#include "Logging/EventLog.h"

#include <cstdint>
#include <map>
#include <memory>

namespace acaciacross::node {

/// Logs which searchers become cold and warm again, not more often than a
/// fixed number of lines per update.
class ColdSearcherLog {
public:
  ColdSearcherLog(const forwarding::ServiceRegistry &Registry,
                  logging::EventLog &Log);

  void update(common::MonotonicTime Now);

private:
  /// A searcher that was logged as cold and not yet as warm.
  struct LoggedSearcher {
    std::shared_ptr<const forwarding::ReplicaRecord> Record;
    common::MonotonicTime Since;
    std::uint64_t WithheldBefore = 0;
  };

  void logCold(common::MonotonicTime Now);
  void logWarm(common::MonotonicTime Now);

  const forwarding::ServiceRegistry &Registry;
  logging::EventLog &Log;
  std::map<common::SearcherId, LoggedSearcher> Logged;
};

} // namespace acaciacross::node

#endif
