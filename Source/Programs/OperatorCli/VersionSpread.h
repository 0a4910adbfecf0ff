#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_VERSIONSPREAD_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_VERSIONSPREAD_H

#include "Json/JsonNode.h"

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// Collects from the logs of all VMs how each version of the routes reached
/// them, and where it waited on the way.
class VersionSpread {
public:
  /// Reads the lines of one log. Text before the JSON object of a line is
  /// ignored.
  void read(std::istream &Log);

  bool isEmpty() const;
  /// One row for each version and VM, ordered by the time of acceptance, which
  /// is counted from the first VM that accepted the version.
  std::string text() const;
  std::string json() const;

private:
  /// How a version reached one VM. Times in milliseconds.
  struct Arrival {
    std::string Vm;
    /// "read" or "watch" of the store, or the address of a peer.
    std::string Source;
    double AcceptedAtMs = 0.0;
    /// From hearing of the revision to the pull; 0 for the store.
    double WaitedMs = 0.0;
    /// Duration of the call to the store, or of the pull.
    double TookMs = 0.0;
    /// From the end of the call to the control thread.
    double QueuedMs = 0.0;
    /// From the control thread to the traffic thread.
    std::optional<double> HandoverMs;
    /// How long requests that it had admitted ran on after its replacement.
    std::optional<double> HeldMs;
  };

  void apply(const json::JsonNode &Line);
  /// The newest arrival of the version at the VM; null if there is none.
  Arrival *find(const std::string &Vm, std::int64_t Version);
  std::vector<Arrival> sorted(std::int64_t Version) const;

  std::map<std::int64_t, std::vector<Arrival>> Versions;
  /// The last answer or pull of each VM.
  std::map<std::string, Arrival> LastReceived;
};

} // namespace acaciacross::operatorcli

#endif
