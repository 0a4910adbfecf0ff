#ifndef ACACIACROSS_GATEWAY_DOMAINTRAFFIC_H
#define ACACIACROSS_GATEWAY_DOMAINTRAFFIC_H

#include <cstddef>
#include <cstdint>
#include <ostream>

namespace acaciacross::gateway {

/// Counts the requests to searchers and their bytes, for those in the failure
/// domain of this VM and for all others. Bytes are those of HTTP messages;
/// headers of responses are not counted.
class DomainTraffic {
public:
  void recordSent(bool IsOwnDomain, std::size_t Bytes);
  void recordReceived(bool IsOwnDomain, std::size_t Bytes);

  /// Writes the counters in the Prometheus text format.
  void write(std::ostream &Page) const;

private:
  struct Counts {
    std::uint64_t Requests = 0;
    std::uint64_t SentBytes = 0;
    std::uint64_t ReceivedBytes = 0;
  };

  Counts Own;
  Counts Other;
};

} // namespace acaciacross::gateway

#endif
