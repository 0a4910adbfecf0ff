#ifndef ACACIACROSS_UPSTREAMS_SEARCHERSTATES_H
#define ACACIACROSS_UPSTREAMS_SEARCHERSTATES_H

#include "Upstreams/SearcherState.h"

#include <map>

namespace acaciacross::upstreams {

/// States of all searchers by index.
using SearcherStates = std::map<common::SearcherIndex, SearcherState>;

} // namespace acaciacross::upstreams

#endif
