#include "StandIns/Http/TerminationSignals.h"
#include "StandIns/Searcher/ProcessSettingsParser.h"
#include "StandIns/Searcher/SearcherProcess.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "settings file, see Source/StandIns/README.md");

namespace acaciacross::standins {

namespace {

int run() {
  TerminationSignals Termination;
  std::ifstream File(FLAGS_settings);
  if (!File) {
    std::cerr << "standin-searcher: cannot read " << FLAGS_settings << '\n';
    return 2;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  const ProcessSettings Settings = ProcessSettingsParser::parse(Text.str());
  const SearcherProcess Process(Settings);
  std::cout << "standin-searcher: " << Settings.Searchers.size()
            << " searchers, control at " << Settings.ControlAddress.toString()
            << std::endl;
  Termination.wait();
  return 0;
}

} // namespace

} // namespace acaciacross::standins

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("test scaffolding: searchers of a service");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    return acaciacross::standins::run();
  } catch (const std::exception &Failure) {
    std::cerr << "standin-searcher: " << FLAGS_settings << ": "
              << Failure.what() << '\n';
    return 2;
  }
}
