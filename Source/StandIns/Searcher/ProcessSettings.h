#ifndef ACACIACROSS_STANDINS_SEARCHER_PROCESSSETTINGS_H
#define ACACIACROSS_STANDINS_SEARCHER_PROCESSSETTINGS_H

#include "StandIns/Searcher/SearcherSettings.h"

namespace acaciacross::standins {

/// Contents of the settings file of standin-searcher.
struct ProcessSettings {
  common::Address ControlAddress;
  std::vector<SearcherSettings> Searchers;
};

} // namespace acaciacross::standins

#endif
