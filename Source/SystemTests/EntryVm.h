#ifndef ACACIACROSS_SYSTEMTESTS_ENTRYVM_H
#define ACACIACROSS_SYSTEMTESTS_ENTRYVM_H

#include "Json/JsonNode.h"

#include "SystemTests/ProcessHandle.h"
#include "SystemTests/QueryAnswer.h"

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace acaciacross::systemtests {

/// An entry VM process and the HTTP calls that callers and operators send to
/// it.
struct EntryVm {
  std::string Id;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string SettingsFile;
  std::string LogFile;
  std::unique_ptr<ProcessHandle> Process;

  void start();

  /// Returns the addresses of its address answer; empty without a reply.
  std::set<std::string> addresses() const;

  /// Requests a ticket; empty if none was given.
  std::string ticket(const std::string &Class) const;

  QueryAnswer
  query(const std::string &Id, const std::string &Class,
        const std::string &Ticket = "",
        std::chrono::milliseconds Deadline = std::chrono::seconds(2)) const;

  json::JsonNode status() const;

  /// Returns the caller addresses of the fleet as its status page shows them;
  /// empty unless its state is "serving".
  std::set<std::string> fleet() const;
};

} // namespace acaciacross::systemtests

#endif
