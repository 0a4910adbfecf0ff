#ifndef ACACIACROSS_UPSTREAMS_UPSTREAMEVENT_H
#define ACACIACROSS_UPSTREAMS_UPSTREAMEVENT_H

#include "Common/Identifiers.h"
#include "Upstreams/UpstreamEventKind.h"

#include <string>

namespace acaciacross::upstreams {

/// A state change of a searcher, for the log and the audit trail.
struct UpstreamEvent {
  UpstreamEventKind Kind = UpstreamEventKind::Ejected;
  common::SearcherIndex Searcher;
  common::SearcherId Id;
  std::string Cause;
};

} // namespace acaciacross::upstreams

#endif
