#ifndef ACACIACROSS_UPSTREAMS_SEARCHERSTATES_H
#define ACACIACROSS_UPSTREAMS_SEARCHERSTATES_H

#include "Upstreams/SearcherState.h"

#include <map>

namespace acaciacross::upstreams {

/// States of all searchers by position.
using SearcherStates = std::map<common::SearcherIndex, SearcherState>;

} // namespace acaciacross::upstreams

#endif
