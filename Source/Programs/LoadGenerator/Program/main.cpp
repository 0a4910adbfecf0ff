#include "Programs/LoadGenerator/LoadRun.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(entry, "127.0.0.1:7101", "entry VMs, separated by commas");
DEFINE_string(mix, "", "name:weight[:ticket], separated by commas");
DEFINE_double(rate, 10.0, "requests per second, at most 10000");
DEFINE_uint64(duration_s, 10, "time during which requests are sent");
DEFINE_uint64(count, 1000, "requests at most");
DEFINE_uint64(seed, 1, "seed of arrivals, classes and addresses");
DEFINE_uint64(deadline_ms, 2000, "deadline of a request");
DEFINE_uint64(in_flight, 500, "requests in flight at most");
DEFINE_bool(json, false, "report as JSON");

namespace acaciacross::loadgenerator {

namespace {

constexpr int ExitStatusUsage = 2;
constexpr int ExitStatusNoAnswer = 3;
constexpr double MaxRate = 10'000.0;
constexpr std::uint64_t MaxDeadlineMs = 600'000;
constexpr std::uint64_t MaxDurationS = 86'400;

bool parseEntryVms(std::string Text, std::vector<common::Address> &Parsed) {
  Text += ',';
  for (std::size_t End; (End = Text.find(',')) != std::string::npos;
       Text.erase(0, End + 1)) {
    const auto Vm = common::Address::parse(Text.substr(0, End));
    if (!Vm)
      return false;
    Parsed.push_back(*Vm);
  }
  return true;
}

int reportUsageError(const std::string &Problem) {
  std::cerr << "acaciacross-load: " << Problem << '\n';
  return ExitStatusUsage;
}

int run() {
  LoadSettings Settings;
  if (!parseEntryVms(FLAGS_entry, Settings.EntryVms))
    return reportUsageError("--entry=" + FLAGS_entry +
                            ": malformed; allowed: a.b.c.d:port,...");
  const auto Mix = ClassShare::parseMix(FLAGS_mix);
  if (!Mix)
    return reportUsageError("--mix=" + FLAGS_mix +
                            ": malformed; allowed: name:weight[:ticket],...");
  if (!(FLAGS_rate > 0.0) || FLAGS_rate > MaxRate)
    return reportUsageError(
        "--rate: out of range; allowed: above 0, up to 10000");
  if (FLAGS_deadline_ms == 0 || FLAGS_deadline_ms > MaxDeadlineMs)
    return reportUsageError(
        "--deadline_ms: out of range; allowed: 1 to 600000");
  if (FLAGS_duration_s > MaxDurationS)
    return reportUsageError("--duration_s: out of range; allowed: 0 to 86400");
  Settings.Mix = *Mix;
  Settings.RequestsPerSecond = FLAGS_rate;
  Settings.Duration = std::chrono::seconds(FLAGS_duration_s);
  Settings.MaxRequests = FLAGS_count;
  Settings.Seed = FLAGS_seed;
  Settings.Deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  Settings.MaxInFlight = FLAGS_in_flight;

  const LoadReport Report = LoadRun(Settings).run();
  std::cout << (FLAGS_json ? Report.json() + '\n' : Report.text());
  return Report.answers() > 0 ? 0 : ExitStatusNoAnswer;
}

} // namespace

} // namespace acaciacross::loadgenerator

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "sends queries to entry VMs at a fixed rate, whatever the answers\n"
      "exit status: 0 answers came, 2 a flag is wrong, 3 no answer came");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return acaciacross::loadgenerator::run();
}
