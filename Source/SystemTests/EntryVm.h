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

/// One entry VM, and the calls that callers and operators make to it.
struct EntryVm {
  std::string Id;
  std::string Callers;
  std::string Peers;
  std::string SettingsFile;
  std::string LogFile;
  std::unique_ptr<ProcessHandle> Process;

  void start();

  /// The addresses of callers that it names; empty without a reply.
  std::set<std::string> addresses() const;

  /// "" when none was given.
  std::string ticket(const std::string &Class) const;

  QueryAnswer
  query(const std::string &Id, const std::string &Class,
        const std::string &Ticket = "",
        std::chrono::milliseconds Deadline = std::chrono::seconds(2)) const;

  json::JsonNode status() const;

  /// Callers' addresses of the serving VMs that its status page shows.
  std::set<std::string> fleet() const;
};

} // namespace acaciacross::systemtests

#endif
