#include "Programs/OperatorCli/CheckReport.h"
#include "Programs/OperatorCli/DocumentCheck.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_bool(json, false, "output as JSON");

namespace acaciacross::operatorcli {

namespace {

constexpr const char *Usage =
    "checks documents of acaciacross\n"
    "  acaciacross-ctl check [--json] FILE...\n"
    "    classes.toml and service-<name>.toml are checked as published\n"
    "    documents, other files as settings of an entry VM; nothing is sent\n"
    "exit status: 0 all valid, 2 wrong use, 3 a file is not valid, 4 a file\n"
    "cannot be read";

int run(const std::vector<std::string> &Arguments) {
  if (Arguments.size() < 2 || Arguments.front() != "check") {
    std::cerr << "acaciacross-ctl: " << Usage << '\n';
    return static_cast<int>(ExitStatus::Usage);
  }
  std::vector<CheckResult> Results;
  for (std::size_t I = 1; I < Arguments.size(); ++I)
    Results.push_back(DocumentCheck::run(Arguments[I]));
  std::cout << (FLAGS_json ? CheckReport::json(Results)
                           : CheckReport::text(Results));
  return static_cast<int>(CheckReport::status(Results));
}

} // namespace

} // namespace acaciacross::operatorcli

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(acaciacross::operatorcli::Usage);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return acaciacross::operatorcli::run(
      {Arguments + 1, Arguments + ArgumentCount});
}
