#ifndef ACACIACROSS_TRAFFIC_PAGEKIND_H
#define ACACIACROSS_TRAFFIC_PAGEKIND_H

namespace acaciacross::traffic {

/// The pages of a searcher that are polled.
enum class PageKind { Health, Load };

} // namespace acaciacross::traffic

#endif
