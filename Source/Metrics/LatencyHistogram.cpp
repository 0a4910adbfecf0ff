#include "Metrics/LatencyHistogram.h"

#include <algorithm>

namespace acaciacross::metrics {

void LatencyHistogram::add(std::chrono::nanoseconds Latency) {
  const auto Bound = std::ranges::find_if(BoundsMs, [&](int Milliseconds) {
    return Latency <= std::chrono::milliseconds(Milliseconds);
  });
  ++this->Counts[static_cast<std::size_t>(Bound - BoundsMs.begin())];
  this->Sum += Latency;
}

void LatencyHistogram::write(std::ostream &Page, std::string_view Name,
                             std::string_view Labels) const {
  const std::string_view Comma = Labels.empty() ? "" : ",";
  std::uint64_t Total = 0;
  for (std::size_t I = 0; I < this->Counts.size(); ++I) {
    Total += this->Counts[I];
    Page << Name << "_bucket{" << Labels << Comma << "le=\"";
    if (I < BoundsMs.size())
      Page << static_cast<double>(BoundsMs[I]) / 1000.0;
    else
      Page << "+Inf";
    Page << "\"} " << Total << '\n';
  }
  const std::chrono::duration<double> Seconds = this->Sum;
  Page << Name << "_sum{" << Labels << "} " << Seconds.count() << '\n';
  Page << Name << "_count{" << Labels << "} " << Total << '\n';
}

} // namespace acaciacross::metrics
