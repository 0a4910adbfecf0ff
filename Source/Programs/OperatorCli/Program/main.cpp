#include "Programs/OperatorCli/CheckReport.h"
#include "Programs/OperatorCli/DocumentCheck.h"
#include "Programs/OperatorCli/LogSummary.h"
#include "Programs/OperatorCli/PageFetcher.h"
#include "Programs/OperatorCli/RequestTimeline.h"
#include "Programs/OperatorCli/TableRenderer.h"
#include "Programs/OperatorCli/VersionSpread.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <map>

DEFINE_bool(json, false, "output as JSON");
DEFINE_string(entry, "127.0.0.1:7101", "entry VM that is asked");
DEFINE_uint64(after, 0, "audit: entries with a higher sequence number");

namespace acaciacross::operatorcli {

namespace {

constexpr std::chrono::milliseconds FetchTimeout{2'000};

constexpr const char *Usage =
    "for operators of acaciacross\n"
    "  acaciacross-ctl check [--json] FILE...\n"
    "    classes.toml and service-<name>.toml are checked as published\n"
    "    documents, other files as settings of an entry VM; nothing is sent\n"
    "  acaciacross-ctl classes|fleet|upstreams|config [--entry=A] [--json]\n"
    "    targets and results of classes, entry VMs in address answers,\n"
    "    searchers, revision in effect; --json prints the whole status page\n"
    "  acaciacross-ctl audit [--entry=A] [--after=N] [--json]\n"
    "  acaciacross-ctl explain [--json] REQUEST-ID [LOG...]\n"
    "    what the logs of VMs say of one request, by time; logs from standard\n"
    "    input when no file is named\n"
    "  acaciacross-ctl summary [--json] [LOG...]\n"
    "    what the logs of VMs say of requests that were refused, late, "
    "failed,\n"
    "    abandoned or answered in part: by reason, second and searcher\n"
    "  acaciacross-ctl versions [--json] [LOG...]\n"
    "    how each version of the routes reached each VM, and where it waited\n"
    "exit status: 0 done or all valid, 2 wrong use, 3 a file is not valid,\n"
    "4 a file cannot be read, 5 the entry VM gave no usable answer, 6 no line\n"
    "of a log names the request or a version";

using Renderer = std::optional<std::string> (*)(const std::string &);

const std::map<std::string, Renderer> &pageCommands() {
  static const std::map<std::string, Renderer> Commands = {
      {"classes", TableRenderer::classes},
      {"fleet", TableRenderer::fleet},
      {"upstreams", TableRenderer::upstreams},
      {"config", TableRenderer::config},
      {"audit", TableRenderer::audit},
  };
  return Commands;
}

ExitStatus reportUsageError(const std::string &Problem) {
  std::cerr << "acaciacross-ctl: " << Problem << '\n';
  return ExitStatus::Usage;
}

ExitStatus check(const std::vector<std::string> &Files) {
  if (Files.empty())
    return reportUsageError("check: no file given; at least one is required");
  std::vector<CheckResult> Results;
  Results.reserve(Files.size());
  for (const std::string &File : Files)
    Results.push_back(DocumentCheck::run(File));
  std::cout << (FLAGS_json ? CheckReport::json(Results)
                           : CheckReport::text(Results));
  return CheckReport::status(Results);
}

ExitStatus showPage(const std::string &Command, Renderer Render) {
  const auto Vm = common::Address::parse(FLAGS_entry);
  if (!Vm)
    return reportUsageError("--entry=" + FLAGS_entry +
                            ": malformed; allowed: a.b.c.d:port");
  const std::string Path =
      Command == "audit" ? "/v1/audit?after=" + std::to_string(FLAGS_after)
                         : "/v1/status";
  const auto Page = PageFetcher::get(*Vm, Path, FetchTimeout);
  const auto Text = Page && !FLAGS_json ? Render(*Page) : Page;
  if (!Text) {
    std::cerr << "acaciacross-ctl: no usable response from " << FLAGS_entry
              << Path << '\n';
    return ExitStatus::VmUnreachable;
  }
  std::cout << *Text << (FLAGS_json ? "\n" : "");
  return ExitStatus::Ok;
}

/// Passes the given log files to the consumer, or standard input when there are
/// none. Returns false when a file cannot be read.
template <typename Reader>
bool readLogs(const std::vector<std::string> &Files, Reader &Consumer) {
  for (const std::string &Name : Files) {
    std::ifstream Log(Name);
    if (!Log) {
      std::cerr << "acaciacross-ctl: " << Name << " cannot be read\n";
      return false;
    }
    Consumer.read(Log);
  }
  if (Files.empty())
    Consumer.read(std::cin);
  return true;
}

ExitStatus summarize(const std::vector<std::string> &Files) {
  LogSummary Summary;
  if (!readLogs(Files, Summary))
    return ExitStatus::FileUnreadable;
  std::cout << (FLAGS_json ? Summary.json() + "\n" : Summary.text());
  return ExitStatus::Ok;
}

ExitStatus showVersions(const std::vector<std::string> &Files) {
  VersionSpread Spread;
  if (!readLogs(Files, Spread))
    return ExitStatus::FileUnreadable;
  if (Spread.isEmpty()) {
    std::cerr << "acaciacross-ctl: no log line names a version\n";
    return ExitStatus::RequestUnknown;
  }
  std::cout << (FLAGS_json ? Spread.json() + "\n" : Spread.text());
  return ExitStatus::Ok;
}

ExitStatus explain(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return reportUsageError("explain: no request given");
  RequestTimeline Timeline(Arguments.front());
  if (!readLogs({Arguments.begin() + 1, Arguments.end()}, Timeline))
    return ExitStatus::FileUnreadable;
  if (Timeline.isEmpty()) {
    std::cerr << "acaciacross-ctl: no log line names " << Arguments.front()
              << '\n';
    return ExitStatus::RequestUnknown;
  }
  std::cout << (FLAGS_json ? Timeline.json() + "\n" : Timeline.text());
  return ExitStatus::Ok;
}

ExitStatus run(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return reportUsageError(Usage);
  if (Arguments.front() == "check")
    return check({Arguments.begin() + 1, Arguments.end()});
  if (Arguments.front() == "explain")
    return explain({Arguments.begin() + 1, Arguments.end()});
  if (Arguments.front() == "summary")
    return summarize({Arguments.begin() + 1, Arguments.end()});
  if (Arguments.front() == "versions")
    return showVersions({Arguments.begin() + 1, Arguments.end()});
  const auto Command = pageCommands().find(Arguments.front());
  if (Command == pageCommands().end() || Arguments.size() > 1)
    return reportUsageError(Usage);
  return showPage(Command->first, Command->second);
}

} // namespace

} // namespace acaciacross::operatorcli

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(acaciacross::operatorcli::Usage);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return static_cast<int>(acaciacross::operatorcli::run(
      {Arguments + 1, Arguments + ArgumentCount}));
}
