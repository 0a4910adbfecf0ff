#include "Benchmarks/Capacity/ParseCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"
#include "Configuration/ServiceDocumentParser.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t DocumentCount = 20;

} // namespace

ParseCase::ParseCase(std::uint32_t Count) : Searchers(Count) {}

std::string ParseCase::name() const {
  return "parse." + std::to_string(this->Searchers);
}

std::string ParseCase::unit() const { return "document"; }

std::uint64_t ParseCase::operations() const { return DocumentCount; }

void ParseCase::prepare() {
  this->Text = SampleFleet::serviceText(0, this->Searchers);
}

void ParseCase::run() {
  for (std::uint64_t I = 0; I < DocumentCount; ++I)
    configuration::ServiceDocumentParser::parse(this->Text, "service/sample");
}

std::uint64_t ParseCase::encodedBytes() const {
  return DocumentCount * this->Text.size();
}

} // namespace acaciacross::benchmarks
