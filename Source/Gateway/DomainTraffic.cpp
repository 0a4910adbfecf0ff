#include "Gateway/DomainTraffic.h"

namespace acaciacross::gateway {

void DomainTraffic::recordSent(bool IsOwnDomain, std::size_t Bytes) {
  Counts &Counted = IsOwnDomain ? this->Own : this->Other;
  ++Counted.Requests;
  Counted.SentBytes += Bytes;
}

void DomainTraffic::recordReceived(bool IsOwnDomain, std::size_t Bytes) {
  (IsOwnDomain ? this->Own : this->Other).ReceivedBytes += Bytes;
}

void DomainTraffic::write(std::ostream &Page) const {
  const auto Write = [&](const char *Name, std::uint64_t OwnCount,
                         std::uint64_t OtherCount) {
    Page << "# TYPE " << Name << " counter\n"
         << Name << "{domain=\"own\"} " << OwnCount << '\n'
         << Name << "{domain=\"other\"} " << OtherCount << '\n';
  };
  Write("acaciacross_searcher_requests_total", this->Own.Requests,
        this->Other.Requests);
  Write("acaciacross_searcher_sent_bytes_total", this->Own.SentBytes,
        this->Other.SentBytes);
  Write("acaciacross_searcher_received_bytes_total", this->Own.ReceivedBytes,
        this->Other.ReceivedBytes);
}

} // namespace acaciacross::gateway
