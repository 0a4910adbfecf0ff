#include "Metrics/AnswerWindow.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciacross::metrics {

namespace acc = boost::accumulators;

AnswerWindow::AnswerWindow(std::vector<double> Fractions)
    : Fractions(std::move(Fractions)),
      Latencies(acc::extended_p_square_probabilities = this->Fractions) {}

void AnswerWindow::add(std::chrono::nanoseconds Latency, double Coverage) {
  const auto Sample = static_cast<double>(Latency.count());
  this->Latencies(Sample);
  this->Coverages(Coverage);
  if (this->FirstSamples.size() < MaxExactSamples)
    this->FirstSamples.push_back(Sample);
}

std::uint64_t AnswerWindow::count() const {
  return acc::count(this->Latencies);
}

double AnswerWindow::meanCoverage() const {
  return this->count() == 0 ? 0.0 : acc::mean(this->Coverages);
}

std::chrono::nanoseconds AnswerWindow::quantile(double Fraction) const {
  if (this->count() == 0)
    return std::chrono::nanoseconds::zero();
  double Value = 0.0;
  if (this->count() <= MaxExactSamples) {
    std::vector<double> Sorted = this->FirstSamples;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Rank = static_cast<std::size_t>(
        std::ceil(Fraction * static_cast<double>(Sorted.size())));
    Value = Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
  } else {
    const auto Position =
        std::find(this->Fractions.begin(), this->Fractions.end(), Fraction) -
        this->Fractions.begin();
    Value = acc::extended_p_square(this->Latencies)[Position];
  }
  return std::chrono::nanoseconds(static_cast<std::int64_t>(Value));
}

} // namespace acaciacross::metrics
